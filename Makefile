# Targets for developers; README.md explains the first two.
GO ?= go
BIN := bin

.PHONY: build test race lint bench capacity demo proto tools clean

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Tests that KNOWN-RED.txt names are printed and passed over, no others.
test: build
	@sed 's/^/known red, passed over: /' KNOWN-RED.txt
	$(GO) test -count 1 -timeout 290s -skip "^($$(cut -d: -f1 KNOWN-RED.txt | paste -sd'|' -))$$" ./...

# The same tests with the race detector in tests and processes; needs a C compiler.
race:
	QUINCE_RACE=1 $(GO) test -race -count 1 -timeout 900s ./...

lint:
	@out=$$(gofmt -l $$(git ls-files '*.go' 2>/dev/null)); if [ -n "$$out" ]; then echo "gofmt: $$out"; exit 1; fi
	@built=$$(git ls-files '*.test' '*.o' '*.a' '*.so' '*.exe'; git grep -laP '\A\x7fELF'); if [ -n "$$built" ]; then echo "built files are tracked: $$built"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

bench: build
	$(GO) test -run '^$$' -bench . ./coordination/... ./protocol/... ./transport/...
	$(GO) run ./proctest/experiment -bin $(BIN)

capacity: build
	$(GO) run ./proctest/capacity -bin $(BIN)

demo: build
	$(GO) run ./proctest/demo -bin $(BIN) -example examples/kalahari

# Needs protoc (Debian: protobuf-compiler); the output is committed.
proto:
	mkdir -p $(BIN)/tools
	$(GO) build -o $(BIN)/tools/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	protoc --plugin=$(BIN)/tools/protoc-gen-go --go_out=. --go_opt=module=quinceroad protocol/pb/quince.proto

# For renames; newer versions of gopls want a newer Go.
tools:
	$(GO) install golang.org/x/tools/gopls@v0.22.0

clean:
	rm -rf $(BIN)
