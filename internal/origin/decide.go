package origin

import "time"

// Finding is how the software version of a stream was determined.
type Finding string

// Findings. Only with FindingUnknown the stream must not go on.
const (
	// FindingRecord means that a gateway knew the stream.
	FindingRecord Finding = "record"
	// FindingSingle means that no gateway knew the stream, but only one version served while it
	// can have begun.
	FindingSingle Finding = "single-version"
	// FindingUnknown means that the stream may have begun at another version than any that
	// could be chosen now.
	FindingUnknown Finding = "unknown"
)

// singleVersion returns the only version at which any stream can have begun within the
// horizon, according to this gateway and the others that answered. ok is false if there are
// several, or if no view reaches back far enough. It does not show whether a gateway that did
// not answer knows of another version.
func singleVersion(own View, others []View, horizon time.Duration) (software string, ok bool) {
	versions := make(map[string]bool)
	longest := time.Duration(0)
	for _, v := range append([]View{own}, others...) {
		longest = max(longest, v.Span)
		for version := range v.versionsWithin(horizon) {
			versions[version] = true
		}
	}
	if longest < horizon || len(versions) != 1 {
		return "", false
	}
	for version := range versions {
		software = version
	}
	return software, true
}
