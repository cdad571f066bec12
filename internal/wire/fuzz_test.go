package wire

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"google.golang.org/protobuf/proto"
)

// FuzzReadFrame checks that readFrame panics on no input, and that an accepted
// message is unchanged after it has been written and read again.
func FuzzReadFrame(f *testing.F) {
	var valid bytes.Buffer
	if err := writeFrame(&valid, &wirepb.RunTokens{Offset: 3, Text: []byte("text")}); err != nil {
		f.Fatal(err)
	}
	f.Add(valid.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		first := new(wirepb.RunTokens)
		if err := readFrame(bufio.NewReader(bytes.NewReader(data)), first); err != nil {
			return
		}
		var reencoded bytes.Buffer
		if err := writeFrame(&reencoded, first); err != nil {
			t.Fatal(err)
		}
		second := new(wirepb.RunTokens)
		if err := readFrame(bufio.NewReader(&reencoded), second); err != nil || !proto.Equal(first, second) {
			t.Fatalf("wrote %v, read %v: %v", first, second, err)
		}
	})
}
