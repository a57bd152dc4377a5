package fairshare

import "time"

// Costs of a request at a worker, as the operators specify them. A service that learns
// costs replaces Work.
const (
	promptTokensPerMS = 25
	stepTime          = 8 * time.Millisecond
	// plainWork is the cost of a request to a service without an engine, about the time
	// that its workers take.
	plainWork = 10 * time.Millisecond
)

// Work returns the expected time that a request occupies a worker: its prompt is processed
// alone, and its output shares each step with the batch. A batch of 0 stands for a service
// without an engine.
func Work(promptTokens, outputTokens, batch int) time.Duration {
	if batch <= 0 {
		return plainWork
	}
	prompt := time.Duration(max(promptTokens, 0)) * time.Millisecond / promptTokensPerMS
	return prompt + time.Duration(max(outputTokens, 0))*stepTime/time.Duration(batch)
}
