package catalog

// PriorityCount is the number of priorities that are told apart: 0, the most urgent, to
// PriorityCount-1. Larger values count as the last one and negative ones as 0.
const PriorityCount = 10

// ClampPriority returns a priority from 0 to PriorityCount-1.
func ClampPriority(priority int) int { return min(max(priority, 0), PriorityCount-1) }
