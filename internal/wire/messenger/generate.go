// Package messenger holds the drpc messages between jaygw's own processes.
package messenger

//go:generate sh -c "protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative messenger.proto && sha256sum messenger.proto > messenger.proto.sha256"
