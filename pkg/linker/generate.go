// Package linker implements the client and server of the link, the protocol between
// entries, over drpc.
package linker

//go:generate protoc --proto_path=linkpb --go_out=linkpb --go_opt=paths=source_relative --go-drpc_out=linkpb --go-drpc_opt=paths=source_relative link.proto
