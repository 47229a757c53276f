# make demo   runs a full fleet against stand-ins, for both deployments
# make calm   runs entry hosts against stand-ins of the users' platform, without faults
# make check  runs the same checks as CI
.PHONY: calm demo check format vet lint build test model bench fuzz measure soak

BIN := .bin

demo: build
	scripts/demo.sh examples/granite-hollow.jsonc
	scripts/demo.sh examples/school-lunch.jsonc

calm: build
	$(BIN)/balsamlab calm

check: format vet build lint test model

format:
	@bad="$$(git ls-files '*.go' | grep -v '\.pb\.go$$' | xargs gofmt -l)"; \
	if [ -n "$$bad" ]; then echo "not formatted:"; echo "$$bad"; exit 1; fi

vet:
	go vet ./...

lint: $(BIN)/golangci-lint
	$(BIN)/golangci-lint run ./...
	scripts/style.sh

build:
	go build -o $(BIN)/ ./cmd/...

test:
	scripts/test.sh

model:
	scripts/model.sh

bench:
	go test -run '^$$' -bench . -benchmem ./...

fuzz:
	scripts/fuzz.sh

measure:
	BALSAM_MEASURE=1 go test -count=1 -p 1 -v -timeout 60m -run 'Measure' ./...

# Example: make soak SEEDS=50 FIRST=100 SPAN=8s
SEEDS ?= 50
FIRST ?= 1
SPAN ?= 8s
soak:
	go test -count=1 -v -timeout 60m ./internal/soak -soak.seeds=$(SEEDS) -soak.first=$(FIRST) -soak.span=$(SPAN)

$(BIN)/golangci-lint:
	GOBIN="$(CURDIR)/$(BIN)" go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
