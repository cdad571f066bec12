package wire

//go:generate sh -c "protoc --proto_path=wirepb --go_out=wirepb --go_opt=paths=source_relative --plugin=protoc-gen-go=\"$(go tool -n protoc-gen-go)\" wirepb/*.proto"
