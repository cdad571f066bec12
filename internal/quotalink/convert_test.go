package quotalink

import (
	"reflect"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/quota"
	"google.golang.org/protobuf/proto"
)

// TestShareBackupsAreUnchangedByConversion guards against fields lost in the
// conversion to the wire form and back. It covers a reserve update with a term, and
// the backup of a stopped holder's shares with their loans.
func TestShareBackupsAreUnchangedByConversion(t *testing.T) {
	for _, sent := range []*quota.ShareBackup{
		{
			Holder: "10.0.0.1:7000", Seq: 9, Until: quota.Instant{Incarnation: 3, Micros: 4_000_000},
			Slots:  []quota.SlotEpoch{{Index: 2, Epoch: 5}},
			Shares: []quota.ShareState{{Customer: 7, Level: 12.5}},
		},
		{
			Holder: "10.0.0.1:7000", Age: time.Second,
			Shares: []quota.ShareState{{Customer: 7, Level: 1, Loans: []quota.Loan{{Borrower: 1, Seq: 2, Tokens: 3}}}},
		},
	} {
		data, err := proto.Marshal(EncodeRequest(1, &quota.Request{Kind: quota.KindReserve, ShareBackup: sent}))
		if err != nil {
			t.Fatal(err)
		}
		var in wirepb.QuotaRequest
		if err := proto.Unmarshal(data, &in); err != nil {
			t.Fatal(err)
		}
		got := DecodeRequest(&in, 8)
		if got.Kind != quota.KindReserve || !reflect.DeepEqual(got.ShareBackup, sent) {
			t.Errorf("got %+v, sent %+v", got.ShareBackup, sent)
		}
	}
}
