package scenario

import (
	"math/rand/v2"
	"sync"

	"github.com/greengagegate/greengagegate/internal/standin/answer"
)

const (
	alphabet     = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789 ."
	alphabetBits = 6
	alphabetMask = 1<<alphabetBits - 1
)

// The parts of a prompt, which name streams of random text.
const (
	partRoot = iota + 1
	partDocument
	partOwn
)

// Texts writes the prompts of a plan. It keeps the parts that prompts share.
type Texts struct {
	plan *Plan

	mu     sync.Mutex
	shared map[textKey][]byte
}

type textKey struct {
	part, customer, number, block int
}

// NewTexts returns the texts of a plan.
func NewTexts(plan *Plan) *Texts {
	return &Texts{plan: plan, shared: make(map[textKey][]byte)}
}

// Prompt returns the text of a prompt.
func (t *Texts) Prompt(p Prompt) []byte {
	s := t.plan.Scenario
	text := make([]byte, 0, t.plan.Blocks(p)*t.blockBytes())
	for block := range s.RootBlocks {
		text = append(text, t.sharedBlock(textKey{partRoot, p.Customer, 0, block})...)
	}
	for block := range s.documentBlocks(t.plan.Options.Seed, p.Customer, p.Document) {
		text = append(text, t.sharedBlock(textKey{partDocument, p.Customer, p.Document, block})...)
	}
	for block := range p.OwnBlocks {
		text = t.appendBlock(text, textKey{partOwn, p.Customer, p.Own, block})
	}
	return text
}

func (t *Texts) blockBytes() int { return t.plan.Scenario.BlockTokens * answer.BytesPerToken }

func (t *Texts) sharedBlock(key textKey) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	block, ok := t.shared[key]
	if !ok {
		block = t.appendBlock(nil, key)
		t.shared[key] = block
	}
	return block
}

// appendBlock appends a block of text that only the seed and the key decide.
func (t *Texts) appendBlock(b []byte, key textKey) []byte {
	stream := uint64(key.part)<<56 | uint64(key.customer)<<48 | uint64(key.block)<<40 | uint64(key.number)
	random := rand.New(rand.NewPCG(t.plan.Options.Seed, stream))
	for left := t.blockBytes(); left > 0; {
		bits := random.Uint64()
		for range 64 / alphabetBits {
			if left == 0 {
				break
			}
			b = append(b, alphabet[bits&alphabetMask])
			bits >>= alphabetBits
			left--
		}
	}
	return b
}
