# Plots the output of "bench_policy data": gnuplot -e "data='FILE'; out='FILE.svg'" bench/plot_policy.gp
# By scenario and policy: the 99th percentile of the time to the first token (server choice), and the cost
# per answer (cascades), with their standard deviations over the seeds.
set terminal svg size 1100,900 background "white"
set output out
set multiplot layout 2,1
set style data histograms
set style histogram errorbars gap 1
set style fill solid 0.7 border -1
set grid ytics
set key outside right
set xtics rotate by -15

pick(group, policy, figure) = sprintf("< awk '$1==\"%s\" && $3==\"%s\" && $4==\"%s\"' %s", group, policy, figure, data)

set title "First token, 99th percentile (ms)"
set logscale y
set yrange [100:*]
plot for [p in "round-robin least-reported random power-of-two oracle"] \
  pick("servers", p, "first99") using 5:6:xtic(2) title p

set title "Cost per answer (units)"
unset logscale y
set yrange [0:*]
plot for [p in "cheapest best fixed learned oracle"] \
  pick("cascade", p, "cost") using 5:6:xtic(2) title p
unset multiplot
