// Package records holds the JSON schemas of configuration records, one file for each kind and version.
//
// A file never changes its meaning once it was released; a new shape is a new version.
package records

import "embed"

// Files are the schemas: record.json for what stands around a spec, KIND-vN.json for the specs.
//
//go:embed *.json
var Files embed.FS
