package strictjson

import "fmt"

// Collector collects findings by path while a decoded document is validated. The
// zero value is ready for use. It is not safe for concurrent use.
type Collector struct {
	findings Findings
}

// Addf adds a finding at path, with a message formatted as by fmt.Sprintf.
func (c *Collector) Addf(path, format string, args ...any) {
	c.findings = append(c.findings, Finding{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Locate returns the findings sorted by position. It looks the positions up in
// data, the document that was decoded.
func (c *Collector) Locate(data []byte) Findings {
	if len(c.findings) == 0 {
		return nil
	}
	paths := make([]string, len(c.findings))
	for i, f := range c.findings {
		paths[i] = f.Path
	}
	for i, position := range Locate(data, paths) {
		c.findings[i].Position = position
	}
	c.findings.Sort()
	return c.findings
}
