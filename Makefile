# Everything goes through these; .ci/run calls test.

.PHONY: build test lint run clean

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

lint:
	@unformatted=$$(gofmt -l cmd internal policy); if [ -n "$$unformatted" ]; then echo "not gofmt'ed: $$unformatted"; exit 1; fi
	go vet ./...
	go vet -tags debug ./...

test: lint build
	go test -race -count=1 ./...
	go test -race -count=1 -tags debug ./...

# Needs GW_CONFIG, the path of a configuration; FROSTPIER_OPERATOR names an operator's file.
run: build
	exec bin/frostpier

clean:
	rm -rf bin logs logs*
