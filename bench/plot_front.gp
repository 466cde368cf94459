# Plots the output of "bench_front data": gnuplot -e "data='FILE'; out='FILE.svg'" bench/plot_front.gp
# By scenario and policy: the worth earned minus the price of models, and the 99th percentile of the time
# to the first token, with their standard deviations over the seeds.
set terminal svg size 1100,900 background "white"
set output out
set multiplot layout 2,1
set style data histograms
set style histogram errorbars gap 1
set style fill solid 0.7 border -1
set grid ytics
set key outside right

pick(policy, figure) = sprintf("< awk '$2==\"%s\" && $3==\"%s\"' %s", policy, figure, data)
policies = "product one-threshold smallest-only largest-only random-server least-running"

set title "Worth earned minus price of models (share of the possible worth)"
set yrange [0:1]
plot for [p in policies] pick(p, "net") using 4:5:xtic(1) title p

set title "First token, 99th percentile (ms)"
set logscale y
set yrange [10:*]
plot for [p in policies] pick(p, "first99-ms") using 4:5:xtic(1) title p
unset multiplot
