package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io/fs"
	"slices"
	"strings"
	"sync"

	"github.com/crocusspring/crocusspring/api/records"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Kinds of configuration records.
const (
	KindService         = "service"
	KindBatchClass      = "batch-class"
	KindWorkspace       = "workspace"
	KindPlacementPolicy = "placement-policy"
	KindThrottlePolicy  = "throttle-policy"
	KindLimits          = "limits"
	KindDrain           = "drain"
)

// recordSchema is the schema file of a record without its spec.
const recordSchema = "record.json"

// schemaID identifies one schema version of one kind.
type schemaID struct {
	kind    string
	version int
}

// file returns the name of the schema file.
func (s schemaID) file() string { return fmt.Sprintf("%s-v%d.json", s.kind, s.version) }

// converter adds a record with a spec of one schema version to a view.
type converter func(v *View, name string, ver Version) error

// converters hold the conversion of each schema version to the internal form. A version that is in use is
// never removed.
var converters = map[schemaID]converter{
	{KindService, 1}:         convert(serviceV1),
	{KindService, 2}:         convert(serviceV2),
	{KindBatchClass, 1}:      convert(batchClassV1),
	{KindWorkspace, 1}:       convert(workspaceV1),
	{KindWorkspace, 2}:       convert(workspaceV2),
	{KindPlacementPolicy, 1}: convert(placementV1),
	{KindThrottlePolicy, 1}:  convert(throttleV1),
	{KindLimits, 1}:          convert(limitsV1),
	{KindDrain, 1}:           convert(drainV1),
}

// schemas returns the compiled schema files by name. They are compiled on the first call.
var schemas = sync.OnceValue(mustCompile)

// mustCompile compiles every schema file.
func mustCompile() map[string]*jsonschema.Schema {
	names, err := fs.Glob(records.Files, "*.json")
	if err != nil {
		panic(err)
	}
	c := jsonschema.NewCompiler()
	out := map[string]*jsonschema.Schema{}
	for _, name := range names {
		data, err := records.Files.ReadFile(name)
		if err != nil {
			panic(err)
		}
		doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
		if err != nil {
			panic(fmt.Errorf("schema %s: %w", name, err))
		}
		if err := c.AddResource(name, doc); err != nil {
			panic(fmt.Errorf("schema %s: %w", name, err))
		}
		out[name] = c.MustCompile(name)
	}
	return out
}

// Kinds returns the names of all kinds in order.
func Kinds() []string {
	var out []string
	for s := range converters {
		if !slices.Contains(out, s.kind) {
			out = append(out, s.kind)
		}
	}
	slices.Sort(out)
	return out
}

// Schemas returns the schema versions of a kind in order; none for an unknown kind.
func Schemas(kind string) []int {
	var out []int
	for s := range converters {
		if s.kind == kind {
			out = append(out, s.version)
		}
	}
	slices.Sort(out)
	return out
}

// UnknownSchemaError means that this build does not know the kind or the schema version of a record; a newer
// build may.
type UnknownSchemaError struct {
	Key    Key
	Schema int
}

// Error implements error; it names the kind, the schema version and the kinds or versions that this build reads.
func (e *UnknownSchemaError) Error() string {
	supported := Schemas(e.Key.Kind)
	if len(supported) == 0 {
		return fmt.Sprintf("kind %q is not known, kinds are %s", e.Key.Kind, strings.Join(Kinds(), ", "))
	}
	return fmt.Sprintf("schema version %d of kind %s is not known, versions are %v", e.Schema, e.Key.Kind, supported)
}

// convert returns a converter that decodes a spec of type T and calls apply with it.
func convert[T any](apply func(v *View, name string, spec T, ver Version) error) converter {
	return func(v *View, name string, ver Version) error {
		var spec T
		if err := json.Unmarshal(ver.Spec, &spec); err != nil {
			return fmt.Errorf("decode spec: %w", err)
		}
		return apply(v, name, spec, ver)
	}
}
