package evaluate

import (
	"github.com/greengagegate/greengagegate/internal/load/client"
	"github.com/greengagegate/greengagegate/internal/load/scenario"
)

// prefixNode is a block of a prompt together with all blocks before it.
type prefixNode struct {
	customer, document, own, block int
}

// neededTokens returns the prompt tokens that one endless cache would compute
// for the prompts that were served and arrived in the measured part.
func neededTokens(plan *scenario.Plan, results []client.PromptResult) int64 {
	served := make(map[int]bool, len(results))
	for _, r := range results {
		served[r.Prompt.ID] = r.Outcome == client.Complete
	}
	seen := make(map[prefixNode]bool)
	var needed int64
	for _, p := range plan.Prompts {
		if !served[p.ID] {
			continue
		}
		missing := 0
		for _, node := range nodes(plan, p) {
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

// nodes returns the blocks of a prompt. Parts that prompts share have no number
// of the parts after them.
func nodes(plan *scenario.Plan, p scenario.Prompt) []prefixNode {
	total := plan.Blocks(p)
	found := make([]prefixNode, 0, total)
	for block := range total {
		node := prefixNode{customer: p.Customer, block: block}
		if block >= plan.Scenario.RootBlocks {
			node.document = p.Document + 1
		}
		if block >= total-p.OwnBlocks {
			node.own = p.Own
		}
		found = append(found, node)
	}
	return found
}
