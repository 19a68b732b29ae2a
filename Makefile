# The targets of the README; everything needs only Go and make.
GO ?= go
MODULES := core wire daemon ctl

.PHONY: all build demo test bench lint generate
all: build

build:
	@mkdir -p build
	$(GO) build -o build/ ./daemon/cmd/pistachiod ./ctl/cmd/pistachioctl

demo: build
	@scripts/demo.sh

test:
	$(GO) test -race -count=1 $(addsuffix /...,$(addprefix ./,$(MODULES)))

# Needs protoc and protoc-gen-go; the generated code is committed.
generate:
	cd core && protoc --go_out=. --go_opt=paths=source_relative peerpb/peer.proto
