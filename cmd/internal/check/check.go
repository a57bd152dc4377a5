// Package check validates files that hold settings, settings templates, tables
// and lists, and reports every finding.
//
// The kind of a file is detected from its fields. Chunks are checked together,
// grouped by the manifests among the files if there are any, with the checks that
// an instance runs before it puts a table in force.
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

// Finding is one defect of a file and its position. Line and Column count from 1;
// Path names the field within the document.
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

// file is the name and the content of one file to check.
type file struct {
	name string
	data []byte
}

// Files reads the named files and returns all their findings, sorted by file in
// the given order and then by position. It fails only if a file can't be read.
func Files(names []string) ([]Finding, error) {
	c := &checker{}
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		c.checkFile(file{name: name, data: data})
	}
	c.checkTables()
	c.sort(names)
	return c.findings, nil
}

// checker collects findings. Manifests and chunks are kept until all files are
// read, because they can only be checked together.
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

// checkFile checks a file on its own, or keeps a manifest or chunk for
// checkTables.
func (c *checker) checkFile(f file) {
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
	case configurationKind:
		c.add(f.name, users.CheckConfig(f.data))
	case templateKind:
		c.checkTemplate(f)
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

// checkTemplate checks the settings that a template renders to. Findings have
// their positions in the template.
func (c *checker) checkTemplate(f file) {
	rendering, findings := users.RenderExample(f.data)
	_, err := direct.ParseSettings(rendering.Text)
	var settingsFindings strictjson.Findings
	errors.As(err, &settingsFindings)
	findings = append(findings, rendering.Locate(settingsFindings)...)
	findings.Sort()
	c.add(f.name, findings)
}

// checkTables checks the chunks of each manifest. The chunks that no manifest
// lists are checked together as one table and, if there are manifests, are
// findings themselves.
func (c *checker) checkTables() {
	listed := make(map[string]bool)
	for _, m := range c.manifests {
		c.checkManifest(m, listed)
	}
	var unlisted []file
	for _, chunk := range c.chunks {
		if !listed[table.Digest(chunk.data)] {
			unlisted = append(unlisted, chunk)
		}
	}
	if len(c.manifests) > 0 {
		for _, chunk := range unlisted {
			c.add(chunk.name, strictjson.Findings{{
				Position: strictjson.Position{Line: 1, Column: 1},
				Path:     strictjson.Root,
				Message:  fmt.Sprintf("no manifest lists the digest %s of this chunk", table.Digest(chunk.data)),
			}})
		}
	}
	if len(unlisted) > 0 {
		c.assemble(table.NewAssembly(manifestOf(unlisted), nil, nil), file{})
	}
}

// checkManifest checks the chunks that a manifest lists and adds their digests to
// listed.
func (c *checker) checkManifest(f file, listed map[string]bool) {
	m, err := table.ParseManifest(f.data)
	var findings table.Findings
	if errors.As(err, &findings) {
		for _, finding := range findings {
			c.add(f.name, strictjson.Findings{finding.Finding})
		}
		return
	}
	assembly := table.NewAssembly(m, nil, nil)
	for _, digest := range c.assemble(assembly, f) {
		listed[digest] = true
	}
}

// manifestOf returns a manifest that lists the chunks with their file names as
// keys.
func manifestOf(chunks []file) table.Manifest {
	m := table.Manifest{Revision: 1}
	for _, chunk := range chunks {
		m.Chunks = append(m.Chunks, table.ChunkRef{Key: chunk.name, Digest: table.Digest(chunk.data)})
	}
	return m
}

// assemble adds the chunks that the assembly's manifest lists, records the
// findings of the table that results, and returns the digests of the added
// chunks.
func (c *checker) assemble(assembly *table.Assembly, manifest file) []string {
	var digests []string
	for progress := true; progress; {
		progress = false
		for _, chunk := range c.chunks {
			if assembly.Add(chunk.data) {
				digests = append(digests, table.Digest(chunk.data))
				progress = true
			}
		}
	}
	_, err := assembly.Build()
	var findings table.Findings
	errors.As(err, &findings)
	for _, f := range findings {
		c.addTableFinding(assembly, manifest, f)
	}
	return digests
}

// addTableFinding records a finding of a table under the file that holds its
// chunk, or under the manifest. Without a manifest file, a finding of the table as
// a whole goes to the first chunk.
func (c *checker) addTableFinding(assembly *table.Assembly, manifest file, f table.Finding) {
	if f.Chunk == table.ManifestName {
		f.Position = strictjson.Locate(manifest.data, []string{f.Path})[0]
		if manifest.name == "" {
			manifest.name = c.chunks[0].name
		}
		c.add(manifest.name, strictjson.Findings{f.Finding})
		return
	}
	digest, _ := assembly.DigestOf(f.Chunk)
	for _, chunk := range c.chunks {
		if table.Digest(chunk.data) == digest {
			c.add(chunk.name, strictjson.Findings{f.Finding})
			return
		}
	}
}

// sort orders the findings by the order of names and then by position.
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
