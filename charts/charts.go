// Package charts embeds the state charts of the system.
package charts

import "embed"

// Files holds every chart, one YAML file each.
//
//go:embed *.yaml
var Files embed.FS
