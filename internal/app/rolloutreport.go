package app

import (
	"github.com/greengagegate/greengagegate/internal/rollout"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// encodeRolloutUpdates returns the messages for decisions on rollouts.
func encodeRolloutUpdates(updates []rollout.Update) []*wirepb.RolloutStep {
	var encoded []*wirepb.RolloutStep
	for _, u := range updates {
		encoded = append(encoded, &wirepb.RolloutStep{
			Pool: u.Order.Pool, Target: u.Order.Target, Created: u.Order.Created, Token: u.Token, Number: u.Number,
			Stage: wirepb.RolloutStage(u.Step.Stage), Share: u.Step.Share, Canaries: int32(u.Canaries),
			ElapsedMs: u.Elapsed.Milliseconds(), SinceMs: u.Step.Since.Milliseconds(), Reason: u.Reason, CanaryShare: u.Step.Canary,
		})
	}
	return encoded
}

// decodeRolloutUpdate returns the decision in a message. ok is false if the message has an
// unknown stage or an impossible share.
func decodeRolloutUpdate(message *wirepb.RolloutStep) (update rollout.Update, ok bool) {
	stage := rollout.Stage(message.Stage)
	isValid := message.Stage >= 0 && stage <= rollout.StageRolledBack && message.Share >= 0 && message.Share <= 1
	return rollout.Update{
		Order:    rollout.OrderID{Pool: message.Pool, Target: message.Target, Created: message.Created},
		Token:    message.Token,
		Number:   message.Number,
		Step:     rollout.Step{Stage: stage, Share: message.Share, Since: milliseconds(message.SinceMs), Canary: message.CanaryShare},
		Canaries: int(message.Canaries),
		Elapsed:  milliseconds(message.ElapsedMs),
		Reason:   message.Reason,
	}, isValid
}

// encodeRolloutReports returns the messages for what this gateway observed of rollouts.
func encodeRolloutReports(reports []rollout.Report) []*wirepb.RolloutEvidence {
	var encoded []*wirepb.RolloutEvidence
	for _, r := range reports {
		message := &wirepb.RolloutEvidence{
			Pool: r.Order.Pool, Target: r.Order.Target, Created: r.Order.Created,
			Incarnation: r.Incarnation, RunningOthers: r.RunningAtOthers,
			ElapsedMs: r.Elapsed.Milliseconds(),
		}
		message.Counts = encodeCounts(message.Counts, r.Others, rollout.GroupOthers, "")
		for upstream, evidence := range r.Targets {
			message.Counts = encodeCounts(message.Counts, evidence, rollout.GroupTarget, upstream)
		}
		encoded = append(encoded, message)
	}
	return encoded
}

// encodeCounts appends the messages for the counts of a group. upstream is the upstream that
// they are of; empty for the other versions.
func encodeCounts(encoded []*wirepb.RolloutCounts, evidence rollout.Evidence, group rollout.Group, upstream string) []*wirepb.RolloutCounts {
	for route, groups := range evidence {
		counts := &groups[group]
		used := 0
		for i, count := range counts.Durations {
			if count > 0 {
				used = i + 1
			}
		}
		encoded = append(encoded, &wirepb.RolloutCounts{
			Route: route, Upstream: upstream, Sent: counts.Sent, Total: counts.Total, Failed: counts.Failed,
			Durations: counts.Durations[:used],
		})
	}
	return encoded
}

// decodeRolloutReport returns the report in a message.
func decodeRolloutReport(message *wirepb.RolloutEvidence) *rollout.Report {
	report := &rollout.Report{
		Order:           rollout.OrderID{Pool: message.Pool, Target: message.Target, Created: message.Created},
		Incarnation:     message.Incarnation,
		RunningAtOthers: message.RunningOthers,
		Elapsed:         milliseconds(message.ElapsedMs),
		Others:          make(rollout.Evidence),
		Targets:         make(map[string]rollout.Evidence),
	}
	for _, encoded := range message.Counts {
		evidence, group := report.Others, rollout.GroupOthers
		if encoded.Upstream != "" {
			evidence, group = report.Targets[encoded.Upstream], rollout.GroupTarget
		}
		if evidence == nil {
			evidence = make(rollout.Evidence)
			report.Targets[encoded.Upstream] = evidence
		}
		counts := evidence.Of(encoded.Route, group)
		counts.Sent, counts.Total, counts.Failed = encoded.Sent, encoded.Total, encoded.Failed
		copy(counts.Durations[:], encoded.Durations)
	}
	return report
}
