package prober

import (
	"flag"
	"os"
	"testing"

	"github.com/greengagegate/greengagegate/internal/agent/cacheindex"
	"github.com/greengagegate/greengagegate/internal/agent/fairqueue"
	"github.com/greengagegate/greengagegate/internal/slope"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"google.golang.org/protobuf/proto"
)

var printSlopes = flag.Bool("slopes", false, "print what probes cost at several sizes as JSON lines")

// TestSlopes prints slopes, which are costs in relation to size: by the number of
// blocks of the prompt, the bytes of a probe and its reply, and the CPU time to
// encode, decode and answer them.
func TestSlopes(t *testing.T) {
	if !*printSlopes {
		t.Skip("needs -slopes")
	}
	for _, blocks := range []int{8, 16, 64} {
		if err := slope.Print(os.Stdout, measureProbeCost(t, blocks)); err != nil {
			t.Fatal(err)
		}
	}
}

// measureProbeCost returns the cost of one probe per second for prompts of so many blocks.
func measureProbeCost(t *testing.T, blocks int) slope.Point {
	const probes = 20_000
	index := cacheindex.New()
	hashes := make([]uint64, blocks)
	for i := range hashes {
		hashes[i] = uint64(i+1) * 0x9E3779B97F4A7C15
	}
	index.AddStarted(1, hashes)
	p := New(Options{
		Index:  index,
		Queue:  fairqueue.New(fairqueue.DefaultOptions(32)),
		Status: fixedStatus(Status{Serving: true, Weights: []string{"v1"}, Incarnation: 1, BlockTokens: 2_000}),
	})
	request := &wirepb.ProbeRequest{
		Customer: "customer-0001", Model: "assistant", Weights: "v1",
		BlockHashes: hashes, PromptTokens: int64(blocks) * 2_000, MaxTokens: 100,
	}
	bytes := 0
	before := slope.Read()
	for range probes {
		sent, err := proto.Marshal(request)
		if err != nil {
			t.Fatal(err)
		}
		received := new(wirepb.ProbeRequest)
		if err := proto.Unmarshal(sent, received); err != nil {
			t.Fatal(err)
		}
		reply, err := proto.Marshal(p.Answer(t.Context(), received))
		if err != nil {
			t.Fatal(err)
		}
		bytes = len(sent) + len(reply)
	}
	perProbe := float64((slope.Read().CPU - before.CPU).Microseconds()) / probes
	return slope.Point{
		Name:               "placement.probe",
		Size:               float64(blocks),
		Unit:               "blocks of the prompt, for one probe a second",
		BytesPerSecond:     float64(bytes),
		CPUMicrosPerSecond: perProbe,
	}
}
