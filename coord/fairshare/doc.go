// Package fairshare decides which requests are served first, and which are rejected, when
// workers or adapter slots are scarce: by rank, then by each organisation's use of workers
// relative to its share, then by the time remaining of the request's target.
//
// Shares follow weighted max-min fairness over recent work. Rejecting the organisation with
// the highest use per weight first approaches it without knowing what each one demands:
// one that asks for less than its share is not rejected, and what it leaves goes to the
// others.
//
// Nothing here has an effect on requests without an organisation, but for the order of
// ranks; see Outcomes.
package fairshare
