package evaluate

import (
	"github.com/greengagegate/greengagegate/internal/load/client"
	"github.com/greengagegate/greengagegate/internal/load/scenario"
)

// prefixNode identifies a block of a prompt together with all blocks before it.
type prefixNode struct {
	customer, document, own, block int
}

// neededTokens returns the number of prompt tokens that would be computed if all
// engines shared one cache of unlimited size. It counts the prompts that arrived in
// the measured part and completed. Completed prompts of the warm-up fill the cache.
func neededTokens(plan *scenario.Plan, results []client.PromptResult) int64 {
	completed := make(map[int]bool, len(results))
	for _, r := range results {
		completed[r.Prompt.ID] = r.Outcome == client.Complete
	}
	seen := make(map[prefixNode]bool)
	var needed int64
	for _, p := range plan.Prompts {
		if !completed[p.ID] {
			continue
		}
		missing := 0
		for _, node := range prefixNodes(plan, p) {
			if !seen[node] {
				seen[node] = true
				missing++
			}
		}
		if p.At >= plan.Options.Warmup {
			needed += int64(missing * plan.Scenario.BlockTokens)
		}
	}
	return needed
}

// prefixNodes returns the blocks of a prompt. The fields of a block identify only
// the block and what precedes it, so prompts with a common prefix have equal nodes
// for it.
func prefixNodes(plan *scenario.Plan, p scenario.Prompt) []prefixNode {
	total := plan.Blocks(p)
	blocks := make([]prefixNode, 0, total)
	for block := range total {
		node := prefixNode{customer: p.Customer, block: block}
		if block >= plan.Scenario.RootBlocks {
			// Documents count from 0; 0 in a node marks the root blocks.
			node.document = p.Document + 1
		}
		if block >= total-p.OwnBlocks {
			node.own = p.Own
		}
		blocks = append(blocks, node)
	}
	return blocks
}
