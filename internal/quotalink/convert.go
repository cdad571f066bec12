package quotalink

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/quota"
)

// EncodeRequest converts a request to its wire form. requestNumber identifies the
// request on its stream.
func EncodeRequest(requestNumber uint64, r *quota.Request) *wirepb.QuotaRequest {
	out := &wirepb.QuotaRequest{Number: requestNumber, Tier: wirepb.QuotaTier(r.Kind), Deposit: encodeShareBackup(r.ShareBackup)}
	for i := range r.TokenRequests {
		out.Asks = append(out.Asks, encodeTokenRequest(&r.TokenRequests[i]))
	}
	return out
}

// DecodeRequest converts a request from its wire form. borrower identifies the
// sender; it is not part of the message.
func DecodeRequest(in *wirepb.QuotaRequest, borrower uint64) *quota.Request {
	r := &quota.Request{Kind: quota.RequestKind(in.Tier), Borrower: borrower, ShareBackup: decodeShareBackup(in.Deposit)}
	for _, tokenRequest := range in.Asks {
		r.TokenRequests = append(r.TokenRequests, decodeTokenRequest(tokenRequest))
	}
	return r
}

func encodeTokenRequest(r *quota.TokenRequest) *wirepb.QuotaAsk {
	return &wirepb.QuotaAsk{
		Customer: uint64(r.Customer), Seq: r.Seq, Want: r.Want, Extra: r.Extra, Holding: r.Holding,
		Returned: r.Returned, Refund: r.Refund, RefundSince: encodeInstant(r.RefundSince),
	}
}

func decodeTokenRequest(in *wirepb.QuotaAsk) quota.TokenRequest {
	return quota.TokenRequest{
		Customer: quota.CustomerID(in.Customer), Seq: in.Seq, Want: in.Want, Extra: in.Extra, Holding: in.Holding,
		Returned: in.Returned, Refund: in.Refund, RefundSince: decodeInstant(in.RefundSince),
	}
}

// encodeInstant returns nil for the zero instant.
func encodeInstant(i quota.Instant) *wirepb.QuotaInstant {
	if i.Incarnation == 0 {
		return nil
	}
	return &wirepb.QuotaInstant{Life: i.Incarnation, Micros: i.Micros}
}

func decodeInstant(i *wirepb.QuotaInstant) quota.Instant {
	return quota.Instant{Incarnation: i.GetLife(), Micros: i.GetMicros()}
}

// EncodeReply converts a reply to its wire form. requestNumber is that of the
// request.
func EncodeReply(requestNumber uint64, r *quota.Reply) *wirepb.QuotaReply {
	out := &wirepb.QuotaReply{
		Number: requestNumber, Clock: encodeInstant(r.Clock), Deposit: encodeShareBackup(r.ShareBackup),
	}
	for _, tokenReply := range r.TokenReplies {
		out.Answers = append(out.Answers, &wirepb.QuotaAnswer{
			Granted: tokenReply.Granted, Renewed: tokenReply.Renewed, Left: tokenReply.Remaining, WaitUs: tokenReply.Wait.Microseconds(),
		})
	}
	return out
}

// DecodeReply converts a reply from its wire form.
func DecodeReply(in *wirepb.QuotaReply) *quota.Reply {
	r := &quota.Reply{
		Clock: decodeInstant(in.Clock), ShareBackup: decodeShareBackup(in.Deposit),
	}
	for _, tokenReply := range in.Answers {
		r.TokenReplies = append(r.TokenReplies, quota.TokenReply{
			Granted: tokenReply.Granted, Renewed: tokenReply.Renewed, Remaining: tokenReply.Left, Wait: time.Duration(tokenReply.WaitUs) * time.Microsecond,
		})
	}
	return r
}

func encodeShareBackup(b *quota.ShareBackup) *wirepb.QuotaDeposit {
	if b == nil {
		return nil
	}
	out := &wirepb.QuotaDeposit{Holder: b.Holder, AgeUs: b.Age.Microseconds(), Seq: b.Seq, Until: encodeInstant(b.Until)}
	for _, s := range b.Slots {
		out.Slots = append(out.Slots, &wirepb.QuotaSlot{Index: int32(s.Index), Epoch: s.Epoch})
	}
	for _, s := range b.Shares {
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
	b := &quota.ShareBackup{
		Holder: in.Holder, Age: time.Duration(in.AgeUs) * time.Microsecond, Seq: in.Seq, Until: decodeInstant(in.Until),
	}
	for _, s := range in.Slots {
		b.Slots = append(b.Slots, quota.SlotEpoch{Index: int(s.Index), Epoch: s.Epoch})
	}
	for _, s := range in.Shares {
		share := quota.ShareState{Customer: quota.CustomerID(s.Customer), Level: s.Level}
		for _, l := range s.Loans {
			share.Loans = append(share.Loans, quota.Loan{Borrower: l.Borrower, Seq: l.Seq, Tokens: l.Tokens})
		}
		b.Shares = append(b.Shares, share)
	}
	return b
}
