package scenario

import (
	"math/rand/v2"
	"sync"

	"github.com/greengagegate/greengagegate/internal/standin/answer"
)

// The alphabet has 64 characters, so that each takes alphabetBits random bits. None
// of them needs an escape in JSON.
const (
	alphabet     = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789 ."
	alphabetBits = 6
	alphabetMask = 1<<alphabetBits - 1
)

// The parts of a prompt. Each has its own streams of random text.
const (
	partRoot = iota + 1
	partDocument
	partOwn
)

// Texts generates the texts of a plan's prompts. It keeps the blocks that several
// prompts share in memory. It is safe for concurrent use.
type Texts struct {
	plan *Plan

	mu           sync.Mutex
	sharedBlocks map[textKey][]byte
}

// textKey identifies a block of text: the part, the customer, the document or own
// text (0 for the root) and the position of the block in the part.
type textKey struct {
	part, customer, id, block int
}

// NewTexts returns the texts of a plan, none of which is generated yet.
func NewTexts(plan *Plan) *Texts {
	return &Texts{plan: plan, sharedBlocks: make(map[textKey][]byte)}
}

// Prompt returns the text of a prompt, which is always the same for the same prompt.
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

// sharedBlock returns a block from memory. It generates the block at its first use.
func (t *Texts) sharedBlock(key textKey) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	block, ok := t.sharedBlocks[key]
	if !ok {
		block = t.appendBlock(nil, key)
		t.sharedBlocks[key] = block
	}
	return block
}

// appendBlock appends a block of text that depends only on the seed and the key.
func (t *Texts) appendBlock(b []byte, key textKey) []byte {
	stream := uint64(key.part)<<56 | uint64(key.customer)<<48 | uint64(key.block)<<40 | uint64(key.id)
	random := rand.New(rand.NewPCG(t.plan.Options.Seed, stream))
	for remaining := t.blockBytes(); remaining > 0; {
		bits := random.Uint64()
		for range 64 / alphabetBits {
			if remaining == 0 {
				break
			}
			b = append(b, alphabet[bits&alphabetMask])
			bits >>= alphabetBits
			remaining--
		}
	}
	return b
}
