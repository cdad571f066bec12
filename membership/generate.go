package membership

//go:generate sh -c "protoc --proto_path=memberpb --go_out=memberpb --go_opt=paths=source_relative --plugin=protoc-gen-go=\"$(go tool -n protoc-gen-go)\" memberpb/*.proto"
