package availability

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// ParseLeaving parses the value of a header that says whether the sender leaves: "1", or "0" or
// nothing. ok is false for other values, which announce nothing.
func ParseLeaving(text string) (leaving, ok bool) {
	switch strings.TrimSpace(text) {
	case "1":
		return true, true
	case "", "0":
		return false, true
	}
	return false, false
}

// ParsePause parses the values of Retry-After headers, each a time in seconds that may have a
// fraction (RFC 9110 has whole seconds only). The longest one counts. ok is false if one of them
// can't be used.
func ParsePause(values []string) (pause time.Duration, ok bool) {
	ok = true
	for _, text := range values {
		seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || !(seconds >= 0) || math.IsInf(seconds, 1) {
			ok = false
			continue
		}
		// The conversion of a number that is out of range differs between processors.
		seconds = min(seconds, MaxPause.Seconds())
		pause = max(pause, time.Duration(seconds*float64(time.Second)))
	}
	return pause, ok
}
