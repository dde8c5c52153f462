package admission

// Outcome is the way in which an admitted request ended.
type Outcome uint8

// The outcomes of an admitted request.
const (
	OK        Outcome = iota // the backend server returned a complete answer
	Failed                   // the backend server failed, or its answer was incomplete
	Shed                     // the backend server reported that it did not run the request
	Cancelled                // the caller disconnected or the deadline passed while the request ran
	// OnwardRefused means that the request failed because one of its onward calls
	// was refused for overload, or was answered by a service whose threshold is
	// above the request's importance.
	OnwardRefused
)

var outcomeNames = [...]string{"ok", "failed", "shed", "cancelled", "onward_refused"}

// String returns the name of the outcome in log lines.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}
