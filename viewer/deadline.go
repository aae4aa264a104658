package viewer

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Deadline is a time on the local steady clock. Between instances, whose clocks can differ
// and jump, it travels as the time that remains: the receiver's deadline is later than the
// sender's by the time that the message took, never earlier. The zero Deadline is none.
type Deadline struct{ time.Time }

// DeadlineAfter returns the deadline that lies a duration after now.
func DeadlineAfter(now time.Time, remaining time.Duration) Deadline {
	return Deadline{Time: now.Add(remaining)}
}

// MarshalCBOR encodes the time that remains, 0 if the deadline has passed.
func (deadline Deadline) MarshalCBOR() ([]byte, error) {
	if deadline.IsZero() {
		return cbor.Marshal(time.Duration(0))
	}
	return cbor.Marshal(max(time.Until(deadline.Time), 0))
}

// UnmarshalCBOR decodes a remaining time, counted from the call.
func (deadline *Deadline) UnmarshalCBOR(content []byte) error {
	var remaining time.Duration
	if err := cbor.Unmarshal(content, &remaining); err != nil {
		return err
	}
	*deadline = Deadline{}
	if remaining > 0 {
		*deadline = DeadlineAfter(time.Now(), min(remaining, MaxWarmUp))
	}
	return nil
}
