// Package records contains the JSON schemas of configuration records, one file for each kind and version.
//
// A released schema never changes its meaning; a change of format is a new version.
package records

import "embed"

// Files contains the schemas: record.json for the fields of a record outside its spec, KIND-vN.json for the specs.
//
//go:embed *.json
var Files embed.FS
