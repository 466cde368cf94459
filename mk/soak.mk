# Long randomised run of real processes with an oracle: make soak SEED=n SECONDS=s VMS=n
SEED ?= 1
SECONDS ?= 120
VMS ?= 5
.PHONY: soak
soak: programs standins
	python3 regress/soak/soak.py --build $(BUILD) --seed $(SEED) --seconds $(SECONDS) --vms $(VMS)

# Real fronts on the platform's protocol under randomised faults: make soak-front SEED=n SECONDS=s
# FRONTS=n; make soak-front-many runs SEEDS seeds, starting with SEED, JOBS at a time. SOAK=--narrow, --contended
# uses a large configuration and slow links to the store.
FRONTS ?= 4
SEEDS ?= 50
.PHONY: soak-front soak-front-many
soak-front: front
	python3 regress/front/soak.py $(BUILD)/lovage-front --seed $(SEED) --seconds $(SECONDS) --fronts $(FRONTS) $(SOAK)
soak-front-many: front
	seq $(SEED) $$(($(SEED) + $(SEEDS) - 1)) | xargs -P$(JOBS) -I{} sh -c 'python3 regress/front/soak.py \
	  $(BUILD)/lovage-front --seed {} --seconds $(SECONDS) --fronts $(FRONTS) --slack 2 $(SOAK) >$(BUILD)/logs/soak-front-{}.log 2>&1; \
	  tail -n 1 $(BUILD)/logs/soak-front-{}.log'
