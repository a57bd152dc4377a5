package table

import (
	"fmt"
	"strings"
)

// AdapterVersion names one version of one LoRA adapter.
type AdapterVersion struct {
	Adapter string
	Version string
}

// String returns the form that callers use in "model": adapter@version.
func (a AdapterVersion) String() string {
	return a.Adapter + "@" + a.Version
}

// ParseAdapterVersion parses adapter@version. It fails if either part is empty
// or there is more than one @.
func ParseAdapterVersion(s string) (AdapterVersion, error) {
	adapter, version, found := strings.Cut(s, "@")
	if !found || adapter == "" || version == "" || strings.Contains(version, "@") {
		return AdapterVersion{}, fmt.Errorf("model %q is not of the form adapter@version", s)
	}
	return AdapterVersion{Adapter: adapter, Version: version}, nil
}
