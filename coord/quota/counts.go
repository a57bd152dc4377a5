package quota

// Counts are totals of an account. Refused, Unreachable, Calls and Failures count
// requests and calls, the others tokens.
type Counts struct {
	// Asked and Granted are what was asked of meters and granted by them, Spent is what
	// requests took, and Reserve the part of it that no meter with a right granted.
	Asked, Granted, Spent, Reserve int64
	// Returned is what requests that did not run gave back, ReturnedLate the tokens that
	// expired and were returned to meters.
	Returned, ReturnedLate int64
	// Refused and Unreachable count requests over the quota, and those that were
	// refused because no meter responded.
	Refused, Unreachable int64
	// Calls counts calls to meters, Failures those without a usable response.
	Calls, Failures int64
}
