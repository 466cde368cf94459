# Checks the models of acceptance and grants with spin (apt-get install spin); takes about three minutes.
model:
	mk/model.sh $(BUILD)

.PHONY: model
