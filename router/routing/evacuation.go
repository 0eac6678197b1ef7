package routing

// Evacuation is an operator's order that the targets of a failure domain get no new requests until it is
// withdrawn. Requests in flight are completed.
type Evacuation struct {
	Domain  string
	InForce bool // false if it was withdrawn
}
