package catalog

import (
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// second returns an instant that is n seconds after the first one of a test.
func second(n float64) bootclock.Instant {
	return bootclock.Instant(time.Hour).Add(time.Duration(n * float64(time.Second)))
}

func TestStoreAnsweredOnlyWhereCallsFollowEachOther(t *testing.T) {
	for name, test := range map[string]struct {
		answers, failures []float64
		want              bool
	}{
		"calls each second":             {answers: []float64{0, 1, 2, 3, 4, 5}, want: true},
		"no call for long":              {answers: []float64{0, 1, 4, 5}},
		"a failed call in between":      {answers: []float64{0, 1, 2, 3, 4, 5}, failures: []float64{2.5}},
		"no answer after the failure":   {answers: []float64{0, 1, 2}},
		"first answer after the begin":  {answers: []float64{2, 3, 4, 5}},
		"answers that arrive unordered": {answers: []float64{0, 2, 1, 4, 3, 5}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			c, failures := New(), test.failures
			for _, at := range test.answers {
				for len(failures) > 0 && failures[0] < at {
					c.RecordStoreFailure(second(failures[0]))
					failures = failures[1:]
				}
				c.RecordStoreAnswer(second(at))
			}
			if got := c.HasStoreAnswered(second(1), second(4)); got != test.want {
				t.Errorf("answered throughout: %v, want %v", got, test.want)
			}
		})
	}
}

// What one gateway could not see, another one may have seen.
func TestStoreAnswersOfOtherGatewaysCount(t *testing.T) {
	c := New()
	c.RecordStoreAnswer(second(0))
	c.RecordStoreFailure(second(1))
	c.RecordPeerAnswering("a", Answering{From: second(2), To: second(9)})
	c.RecordPeerAnswering("b", Answering{From: second(-5), To: second(1.5)})
	if !c.HasStoreAnswered(second(0), second(1)) {
		t.Error("the report of b does not count")
	}
	if c.HasStoreAnswered(second(0), second(2)) {
		t.Error("the reports of a and b count as one")
	}
	if got := c.StoreFailingSince(); got != second(1) {
		t.Errorf("failing since %v, want %v", got, second(1))
	}
}
