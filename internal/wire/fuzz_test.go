package wire

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"google.golang.org/protobuf/proto"
)

// FuzzReadFrame checks that no bytes make the reader panic, and that a frame
// that was accepted survives being written and read again.
func FuzzReadFrame(f *testing.F) {
	var good bytes.Buffer
	if err := writeFrame(&good, &wirepb.RunTokens{Offset: 3, Text: []byte("text")}); err != nil {
		f.Fatal(err)
	}
	f.Add(good.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		first := new(wirepb.RunTokens)
		if err := readFrame(bufio.NewReader(bytes.NewReader(data)), first); err != nil {
			return
		}
		var again bytes.Buffer
		if err := writeFrame(&again, first); err != nil {
			t.Fatal(err)
		}
		second := new(wirepb.RunTokens)
		if err := readFrame(bufio.NewReader(&again), second); err != nil || !proto.Equal(first, second) {
			t.Fatalf("%v became %v: %v", first, second, err)
		}
	})
}
