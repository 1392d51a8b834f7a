// Package peerpb holds the messages between nodes and their generated twirp
// client and server.
package peerpb

//go:generate sh -c "go build -o ../../bin/ google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp && PATH=$PWD/../../bin:$PATH protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. peer.proto"
