package quotalink

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/quota"
)

// EncodeRequest converts a request to its wire form.
func EncodeRequest(number uint64, r *quota.Request) *wirepb.QuotaRequest {
	out := &wirepb.QuotaRequest{Number: number, Tier: wirepb.QuotaTier(r.Tier), Deposit: encodeShareBackup(r.ShareBackup)}
	for i := range r.TokenRequests {
		out.Asks = append(out.Asks, encodeAsk(&r.TokenRequests[i]))
	}
	return out
}

// DecodeRequest converts a request from its wire form.
func DecodeRequest(in *wirepb.QuotaRequest, borrower uint64) *quota.Request {
	r := &quota.Request{Tier: quota.Tier(in.Tier), Borrower: borrower, ShareBackup: decodeShareBackup(in.Deposit)}
	for _, ask := range in.Asks {
		r.TokenRequests = append(r.TokenRequests, decodeAsk(ask))
	}
	return r
}

func encodeAsk(a *quota.TokenRequest) *wirepb.QuotaAsk {
	return &wirepb.QuotaAsk{
		Customer: uint64(a.Customer), Seq: a.Seq, Want: a.Want, Extra: a.Extra, Holding: a.Holding,
		Returned: a.Returned, Refund: a.Refund, RefundSince: encodeInstant(a.RefundSince),
	}
}

func decodeAsk(a *wirepb.QuotaAsk) quota.TokenRequest {
	return quota.TokenRequest{
		Customer: quota.CustomerID(a.Customer), Seq: a.Seq, Want: a.Want, Extra: a.Extra, Holding: a.Holding,
		Returned: a.Returned, Refund: a.Refund, RefundSince: decodeInstant(a.RefundSince),
	}
}

func encodeInstant(i quota.Instant) *wirepb.QuotaInstant {
	if i.Incarnation == 0 {
		return nil
	}
	return &wirepb.QuotaInstant{Life: i.Incarnation, Micros: i.Micros}
}

func decodeInstant(i *wirepb.QuotaInstant) quota.Instant {
	return quota.Instant{Incarnation: i.GetLife(), Micros: i.GetMicros()}
}

// EncodeReply converts a reply to its wire form.
func EncodeReply(number uint64, r *quota.Reply) *wirepb.QuotaReply {
	out := &wirepb.QuotaReply{
		Number: number, Clock: encodeInstant(r.Clock), Deposit: encodeShareBackup(r.ShareBackup),
	}
	for _, a := range r.TokenReplies {
		out.Answers = append(out.Answers, &wirepb.QuotaAnswer{
			Granted: a.Granted, Renewed: a.Renewed, Left: a.Left, WaitUs: a.Wait.Microseconds(),
		})
	}
	return out
}

// DecodeReply converts a reply from its wire form.
func DecodeReply(in *wirepb.QuotaReply) *quota.Reply {
	r := &quota.Reply{
		Clock: decodeInstant(in.Clock), ShareBackup: decodeShareBackup(in.Deposit),
	}
	for _, a := range in.Answers {
		r.TokenReplies = append(r.TokenReplies, quota.TokenReply{
			Granted: a.Granted, Renewed: a.Renewed, Left: a.Left, Wait: time.Duration(a.WaitUs) * time.Microsecond,
		})
	}
	return r
}

func encodeShareBackup(d *quota.ShareBackup) *wirepb.QuotaDeposit {
	if d == nil {
		return nil
	}
	out := &wirepb.QuotaDeposit{Holder: d.Holder, AgeUs: d.Age.Microseconds(), Seq: d.Seq, Until: encodeInstant(d.Until)}
	for _, s := range d.Slots {
		out.Slots = append(out.Slots, &wirepb.QuotaSlot{Index: int32(s.Index), Epoch: s.Epoch})
	}
	for _, s := range d.Shares {
		share := &wirepb.QuotaShare{Customer: uint64(s.Customer), Level: s.Level}
		for _, l := range s.Loans {
			share.Loans = append(share.Loans, &wirepb.QuotaLoan{Borrower: l.Borrower, Seq: l.Seq, Tokens: l.Tokens})
		}
		out.Shares = append(out.Shares, share)
	}
	return out
}

func decodeShareBackup(in *wirepb.QuotaDeposit) *quota.ShareBackup {
	if in == nil {
		return nil
	}
	d := &quota.ShareBackup{
		Holder: in.Holder, Age: time.Duration(in.AgeUs) * time.Microsecond, Seq: in.Seq, Until: decodeInstant(in.Until),
	}
	for _, s := range in.Slots {
		d.Slots = append(d.Slots, quota.SlotEpoch{Index: int(s.Index), Epoch: s.Epoch})
	}
	for _, s := range in.Shares {
		share := quota.ShareState{Customer: quota.CustomerID(s.Customer), Level: s.Level}
		for _, l := range s.Loans {
			share.Loans = append(share.Loans, quota.Loan{Borrower: l.Borrower, Seq: l.Seq, Tokens: l.Tokens})
		}
		d.Shares = append(d.Shares, share)
	}
	return d
}
