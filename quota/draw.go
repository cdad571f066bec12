package quota

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// reportFraction of the burst is spending worth a message to a share that may
	// be full, if the customer asks at least reportAsks times a second.
	reportFraction = 0.01
	reportAsks     = 2
	// endingFraction of the burst makes a loan that is about to end worth a message.
	endingFraction = 0.002
	// nearAhead and farAhead are the demand for which a pool borrows ahead in
	// its own region and in others.
	nearAhead = 500 * time.Millisecond
	farAhead  = 5 * time.Second
	// nearlyFull is the fill from which a share may soon gain nothing.
	nearlyFull = 0.6
	// sweepInterval spaces the asks to lenders that together seem to have too little.
	sweepInterval = 100 * time.Millisecond
	// refundFraction of the burst makes a refund worth a message of its own.
	refundFraction = 0.02
)

// candidate is a lender that may have tokens.
type candidate struct {
	address  string
	lot      *lot
	estimate float64
	// level is what it likely has, including what it may not lend at present.
	level float64
	// fill is the level of the share as a part of the highest it can have.
	fill float64
	far  bool
}

// draft is an ask on its way to a lender.
type draft struct {
	address string
	stock   *stock
	lot     *lot
	ask     TokenRequest
}

// draw borrows until the stock has want tokens, in one round. It reports whether
// another round may help.
func (p *pool) draw(ctx context.Context, s *stock, want float64) bool {
	s.mu.Lock()
	now := p.options.Now()
	s.expire(now)
	s.trim(now)
	if s.grantable(now, spendTerm) >= want {
		s.mu.Unlock()
		return false
	}
	if drawing := s.drawing; drawing != nil {
		s.mu.Unlock()
		select {
		case <-drawing:
			return true
		case <-ctx.Done():
			return false
		}
	}
	drafts := p.plan(s, now, want)
	if len(drafts) == 0 {
		s.mu.Unlock()
		return false
	}
	s.drawing = make(chan struct{})
	s.mu.Unlock()
	p.send(ctx, drafts)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.drawing)
	s.drawing = nil
	return s.grantable(p.options.Now(), spendTerm) < want
}

// plan chooses the lenders of a round: one that likely has enough, or else as
// many as it takes; lenders in other regions come last and lend more at once.
// When all together seem to have too little, they are asked only now and then.
func (p *pool) plan(s *stock, now time.Time, want float64) []draft {
	candidates := p.candidates(s, now)
	missing := want - s.grantable(now, spendTerm)
	if best := single(candidates, missing); best != nil {
		return []draft{p.draft(s, now, *best, missing)}
	}
	short := total(candidates) < missing
	if short && now.Sub(s.sweptAt) < sweepInterval {
		return nil
	}
	if short {
		s.sweptAt = now
	}
	var drafts []draft
	for _, c := range candidates {
		if missing <= 0 && !short {
			break
		}
		part := max(1, missing)
		if !short {
			part = min(missing, c.estimate)
		}
		drafts = append(drafts, p.draft(s, now, c, part))
		missing -= c.estimate
	}
	return drafts
}

// draft prepares the ask to one lender for missing tokens.
func (p *pool) draft(s *stock, now time.Time, c candidate, missing float64) draft {
	ask := s.ask(c.lot, now, p.options.GrantTerm, p.seq.Add(1), 0)
	ask.Want = int64(math.Ceil(missing))
	ahead := nearAhead
	if c.far {
		ahead = farAhead
	}
	ask.Extra = int64(s.demand.expect(ahead))
	return draft{c.address, s, c.lot, ask}
}

// total is what all candidates together likely have.
func total(candidates []candidate) float64 {
	var sum float64
	for _, c := range candidates {
		sum += c.estimate
	}
	return sum
}

// withheld is what all candidates together likely have and may not lend at present.
func withheld(candidates []candidate) float64 {
	var sum float64
	for _, c := range candidates {
		sum += c.level - c.estimate
	}
	return sum
}

// single returns the first near lender that likely has enough.
func single(candidates []candidate, missing float64) *candidate {
	for i := range candidates {
		if !candidates[i].far && candidates[i].estimate >= missing {
			return &candidates[i]
		}
	}
	return nil
}

// candidates returns the lenders that may have tokens, near ones first. A share
// that is full gains nothing, so full ones come first, then this process, which
// costs no message, then the fullest.
func (p *pool) candidates(s *stock, now time.Time) []candidate {
	regions := make(map[string]string)
	for _, router := range p.options.Directory.Routers() {
		regions[router.Address] = router.Region
	}
	regions[p.options.Address] = p.options.Region
	slots := SlotsOf(s.customer.Group(), p.options.Config.Slots())
	parts := make(map[string]float64)
	for _, slot := range slots {
		parts[p.options.Directory.Holder(slot)] += 1 / float64(len(slots))
	}
	var found []candidate
	for address, part := range parts {
		region, live := regions[address]
		if !live {
			continue
		}
		lot := s.lot(address)
		if now.Before(lot.retryAfter) {
			continue
		}
		c := lot.outlook(now, s.limit, part, s.needed(lot, now, p.options.GrantTerm))
		c.address = address
		c.far = region != p.options.Region
		found = append(found, c)
	}
	slices.SortFunc(found, func(a, b candidate) int { return p.compare(a, b) })
	return found
}

func (p *pool) compare(a, b candidate) int {
	if a.far != b.far {
		return order(b.far)
	}
	if full(a) != full(b) {
		return order(full(a))
	}
	if own := a.address == p.options.Address; !full(a) && own != (b.address == p.options.Address) {
		return order(own)
	}
	if a.fill != b.fill {
		return order(a.fill > b.fill)
	}
	return order(a.address < b.address)
}

// full reports whether a share may soon gain nothing.
func full(c candidate) bool { return c.fill >= nearlyFull }

func order(first bool) int {
	if first {
		return -1
	}
	return 1
}

// send carries drafts to their lenders, one request each, and takes in the answers.
func (p *pool) send(ctx context.Context, drafts []draft) {
	ctx = context.WithoutCancel(ctx)
	byLender := make(map[string][]draft)
	for _, d := range drafts {
		byLender[d.address] = append(byLender[d.address], d)
	}
	var calls sync.WaitGroup
	for address, group := range byLender {
		calls.Go(func() { p.sendTo(ctx, address, group) })
	}
	calls.Wait()
}

func (p *pool) sendTo(ctx context.Context, address string, drafts []draft) {
	request := &Request{Tier: TierLoan}
	for _, d := range drafts {
		request.TokenRequests = append(request.TokenRequests, d.ask)
	}
	sent := p.options.Now()
	reply, err := p.call(ctx, address, request)
	answered := err == nil && len(reply.TokenReplies) == len(drafts)
	for i, d := range drafts {
		d.stock.mu.Lock()
		now := p.options.Now()
		if answered {
			d.stock.apply(d.lot, d.ask, sent, now, p.options.LoanTerm, reply.TokenReplies[i], reply.Clock)
		} else {
			d.lot.retryAfter = now.Add(lenderRetryInterval)
		}
		d.stock.mu.Unlock()
	}
}

// settle returns the free tokens of idle customers, or of all, and renews the
// loans of the others.
func (p *pool) settle(ctx context.Context, all bool) {
	p.mu.Lock()
	stocks := make([]*stock, 0, len(p.stocks))
	for _, s := range p.stocks {
		stocks = append(stocks, s)
	}
	p.mu.Unlock()
	var drafts []draft
	var busy []*stock
	for _, s := range stocks {
		if prepared := p.prepare(s, all); len(prepared) > 0 {
			drafts = append(drafts, prepared...)
			busy = append(busy, s)
		}
	}
	if len(drafts) == 0 {
		return
	}
	p.send(ctx, drafts)
	for _, s := range busy {
		s.mu.Lock()
		close(s.drawing)
		s.drawing = nil
		s.mu.Unlock()
	}
}

// prepare drafts the periodic asks of one stock and marks it as drawing if there are any.
func (p *pool) prepare(s *stock, all bool) []draft {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := p.options.Now()
	s.expire(now)
	s.trim(now)
	if s.drawing != nil {
		return nil
	}
	idle := all || now.Sub(s.usedAt) >= idleAfter
	var drafts []draft
	for address, lot := range s.lots {
		if now.Before(lot.retryAfter) || !p.due(s, address, lot, now, idle) {
			continue
		}
		giveBack := 0.0
		if idle || p.ending(lot, now) {
			giveBack = s.free
		}
		ask := s.ask(lot, now, p.options.GrantTerm, p.seq.Add(1), giveBack)
		drafts = append(drafts, draft{address, s, lot, ask})
	}
	if len(drafts) > 0 {
		s.drawing = make(chan struct{})
	}
	return drafts
}

// due reports whether a lot has tokens to return, a loan to renew, spending to
// report, or a refund worth a message. Tokens that were spent are first counted
// against the lot.
func (p *pool) due(s *stock, address string, l *lot, now time.Time, idle bool) bool {
	if p.spendingDue(s, address, l, now) {
		return true
	}
	if idle {
		l.held = math.Ceil(s.needed(l, now, p.options.GrantTerm))
	}
	if s.refund.tokens >= refundFraction*s.limit.Burst && l.anchor.peer.Incarnation != 0 {
		return true
	}
	if idle {
		return s.free >= 1 && l.held >= 1
	}
	lasting := s.free + s.grants.lasting(now) - s.lasting(l, now, p.options.GrantTerm)
	return p.ending(l, now) && min(l.held, lasting) >= max(1, endingFraction*s.limit.Burst)
}

// ending reports whether a lot will soon be of no use.
func (p *pool) ending(l *lot, now time.Time) bool {
	return l.expires.Sub(now) < p.options.GrantTerm+2*flushInterval
}

// spendingDue reports whether a lender should learn of spending before the next
// draw. A share counts what was lent as unspent, and gains nothing beyond that
// when it is nearly full. This process's own share learns at once.
func (p *pool) spendingDue(s *stock, address string, l *lot, now time.Time) bool {
	spent := l.held - s.needed(l, now, p.options.GrantTerm)
	if address == p.options.Address {
		return spent >= 1
	}
	return spent >= reportFraction*s.limit.Burst && s.demand.asks >= reportAsks && l.left >= reportFraction*s.limit.Burst
}
