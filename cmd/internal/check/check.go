// Package check finds every defect of settings, tables and lists in files.
//
// A file's kind is told by its fields. Chunks are joined with each other, by the
// manifest among the files where there is one, and checked as an instance would
// check them before it puts them in force.
package check

import (
	"errors"
	"fmt"
	"os"
	"sort"

	"github.com/bulrushwick/bulrushwick/coord/strictjson"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/direct"
	"github.com/bulrushwick/bulrushwick/entry/platform"
	"github.com/bulrushwick/bulrushwick/entry/settings"
	users "github.com/bulrushwick/bulrushwick/platform"
)

// Finding is one defect of a file.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns file:line:column: path: message.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Path, f.Message)
}

// file is one file to check.
type file struct {
	name string
	data []byte
}

// Files reads the files and returns every finding of all of them, by file in the
// order given and by place. Its error says that a file could not be read.
func Files(names []string) ([]Finding, error) {
	c := &checker{}
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		c.file(file{name: name, data: data})
	}
	c.tables()
	c.sort(names)
	return c.findings, nil
}

type checker struct {
	findings  []Finding
	manifests []file
	chunks    []file
}

func (c *checker) add(name string, findings strictjson.Findings) {
	for _, f := range findings {
		c.findings = append(c.findings, Finding{File: name, Line: f.Line, Column: f.Column, Path: f.Path, Message: f.Message})
	}
}

// file checks a file by itself, or keeps it for tables.
func (c *checker) file(f file) {
	switch kindOf(f.data) {
	case settingsKind:
		_, err := settings.Parse(f.data)
		var findings strictjson.Findings
		errors.As(err, &findings)
		c.add(f.name, findings)
	case directSettingsKind:
		_, err := direct.ParseSettings(f.data)
		var findings strictjson.Findings
		errors.As(err, &findings)
		c.add(f.name, findings)
	case templateKind:
		c.template(f)
	case instancesKind:
		_, findings := platform.ParseInstances(f.data)
		c.add(f.name, findings)
	case endpointsKind:
		_, findings := platform.ParseEndpoints(f.data)
		c.add(f.name, findings)
	case manifestKind:
		c.manifests = append(c.manifests, f)
	case chunkKind:
		c.chunks = append(c.chunks, f)
	}
}

// template checks the settings that a template gives, at the template's places.
func (c *checker) template(f file) {
	rendering, findings := users.RenderExample(f.data)
	_, err := direct.ParseSettings(rendering.Text)
	var settingsFindings strictjson.Findings
	errors.As(err, &settingsFindings)
	findings = append(findings, rendering.Locate(settingsFindings)...)
	findings.Sort()
	c.add(f.name, findings)
}

// tables joins the chunks, under each manifest or under one that lists them all.
func (c *checker) tables() {
	named := make(map[string]bool)
	for _, m := range c.manifests {
		c.manifest(m, named)
	}
	var rest []file
	for _, chunk := range c.chunks {
		if !named[table.Digest(chunk.data)] {
			rest = append(rest, chunk)
		}
	}
	if len(c.manifests) > 0 {
		for _, chunk := range rest {
			c.add(chunk.name, strictjson.Findings{{
				Position: strictjson.Position{Line: 1, Column: 1},
				Path:     strictjson.Root,
				Message:  fmt.Sprintf("no manifest lists the digest %s of this chunk", table.Digest(chunk.data)),
			}})
		}
	}
	if len(rest) > 0 {
		c.build(table.NewAssembly(listing(rest), nil, nil), file{})
	}
}

// manifest checks the chunks that a manifest lists and marks them as named.
func (c *checker) manifest(f file, named map[string]bool) {
	m, err := table.ParseManifest(f.data)
	var findings table.Findings
	if errors.As(err, &findings) {
		for _, finding := range findings {
			c.add(f.name, strictjson.Findings{finding.Finding})
		}
		return
	}
	a := table.NewAssembly(m, nil, nil)
	for _, digest := range c.build(a, f) {
		named[digest] = true
	}
}

// listing returns a manifest of the chunks under the files' names.
func listing(chunks []file) table.Manifest {
	m := table.Manifest{Revision: 1}
	for _, chunk := range chunks {
		m.Chunks = append(m.Chunks, table.ChunkRef{Key: chunk.name, Digest: table.Digest(chunk.data)})
	}
	return m
}

// build gathers the chunks of a manifest and records the findings by file. It
// returns the digests that it gathered.
func (c *checker) build(a *table.Assembly, manifest file) []string {
	var digests []string
	for added := true; added; {
		added = false
		for _, chunk := range c.chunks {
			if a.Add(chunk.data) {
				digests = append(digests, table.Digest(chunk.data))
				added = true
			}
		}
	}
	_, err := a.Build()
	var findings table.Findings
	errors.As(err, &findings)
	for _, f := range findings {
		c.place(a, manifest, f)
	}
	return digests
}

// place records a finding of a table under the file that holds the chunk.
func (c *checker) place(a *table.Assembly, manifest file, f table.Finding) {
	if f.Chunk == table.ManifestName {
		f.Position = strictjson.Locate(manifest.data, []string{f.Path})[0]
		if manifest.name == "" { // the files as a whole
			manifest.name = c.chunks[0].name
		}
		c.add(manifest.name, strictjson.Findings{f.Finding})
		return
	}
	digest, _ := a.DigestOf(f.Chunk)
	for _, chunk := range c.chunks {
		if table.Digest(chunk.data) == digest {
			c.add(chunk.name, strictjson.Findings{f.Finding})
			return
		}
	}
}

// sort orders the findings by the order of the files and by place.
func (c *checker) sort(names []string) {
	order := make(map[string]int, len(names))
	for i, name := range names {
		order[name] = i
	}
	sort.SliceStable(c.findings, func(i, j int) bool {
		a, b := c.findings[i], c.findings[j]
		if a.File != b.File {
			return order[a.File] < order[b.File]
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}
