package app

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/poison"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// encodePoisonReport returns the message for a report, or nil if the report is empty.
func encodePoisonReport(report poison.Report) *wirepb.PoisonReport {
	if len(report.Crashes)+len(report.Clearances)+len(report.Convictions) == 0 {
		return nil
	}
	message := &wirepb.PoisonReport{}
	for _, crash := range report.Crashes {
		encoded := &wirepb.PoisonCrash{Upstream: crash.Upstream, StartedMs: crash.StartedMillis, AgeMs: crash.Age.Milliseconds()}
		for _, keys := range crash.Requests {
			encoded.Requests = append(encoded.Requests, &wirepb.PoisonRequest{Keys: convertStrings[string](keys)})
		}
		message.Crashes = append(message.Crashes, encoded)
	}
	for _, clearance := range report.Clearances {
		message.Clearances = append(message.Clearances, &wirepb.PoisonClearance{Key: string(clearance.Key), AgeMs: clearance.Age.Milliseconds()})
	}
	for _, conviction := range report.Convictions {
		message.Convictions = append(message.Convictions, &wirepb.PoisonConviction{Key: string(conviction.Key), RemainingMs: conviction.Remaining.Milliseconds()})
	}
	return message
}

// decodePoisonReport returns the report in a message, which may be nil.
func decodePoisonReport(message *wirepb.PoisonReport) poison.Report {
	var report poison.Report
	for _, crash := range message.GetCrashes() {
		decoded := poison.CrashReport{Upstream: crash.Upstream, StartedMillis: crash.StartedMs, Age: milliseconds(crash.AgeMs)}
		for _, request := range crash.Requests {
			decoded.Requests = append(decoded.Requests, convertStrings[poison.Key](request.Keys))
		}
		report.Crashes = append(report.Crashes, decoded)
	}
	for _, clearance := range message.GetClearances() {
		report.Clearances = append(report.Clearances, poison.ClearanceReport{Key: poison.Key(clearance.Key), Age: milliseconds(clearance.AgeMs)})
	}
	for _, conviction := range message.GetConvictions() {
		report.Convictions = append(report.Convictions, poison.ConvictionReport{Key: poison.Key(conviction.Key), Remaining: milliseconds(conviction.RemainingMs)})
	}
	return report
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// convertStrings converts the elements of a slice to another string type.
func convertStrings[To, From ~string](from []From) []To {
	to := make([]To, len(from))
	for i, value := range from {
		to[i] = To(value)
	}
	return to
}
