package soaker

import "time"

// Regression is a seed that found a defect.
type Regression struct {
	Seed       uint64
	Duration   time.Duration
	FaultKinds int // number of kinds when the seed failed; 0 for all
	Cause      string
}

// Regressions lists the seeds that found defects. Those whose cause says open stand in KNOWN-RED.txt.
var Regressions = []Regression{
	{109, 25 * time.Second, 14, "an instance resumed after a pause and refused late retransmissions of openings because of its outdated view"},
	{5, 30 * time.Second, 19, "the view kept an earlier removal of a server that had come back, and its idle flows were reset when its entry lapsed again"},
	{50000, 25 * time.Second, 23, "open: an instance that fell behind refused openings and then sent copies of them, which had waited in its socket, to servers"},
	{51000, 25 * time.Second, 24, "open: a failure domain was taken back while the store was away, and its cold servers got all flows after the hold of 2 s"},
	{51004, 25 * time.Second, 24, "open: as 50000, on three instances that woke 0.1 s late"},
	{54004, 25 * time.Second, 24, "open: instances kept a limit for lack of room alive by figures of shed responses that had decayed to nearly nothing"},
	{100207, 18 * time.Second, 28, "open: a paused instance sent copies of openings when it woke, which others had refused meanwhile"},
}
