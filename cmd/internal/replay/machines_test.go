package replay

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"path/filepath"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// Guards against an event that members record and a replay cannot decode: it ends the replay of the whole file.
func TestEveryEventCanBeDecoded(t *testing.T) {
	is := is.New(t)
	is.Equal(eventsOf(t, "plugins/endpoints/poolstate"), slices.Sorted(maps.Keys(poolEvents)))
	is.Equal(eventsOf(t, "plugins/jobs/jobstate"), slices.Sorted(maps.Keys(jobEvents)))
	is.Equal(eventsOf(t, "plugins/profiles/register"), slices.Sorted(maps.Keys(registerEvents)))
}

// eventsOf returns the names of the types of a package that have the method event, sorted.
func eventsOf(t *testing.T, dir string) (names []string) {
	files, err := filepath.Glob(filepath.Join("../../..", dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range file.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && f.Recv != nil && f.Name.Name == "event" {
				names = append(names, f.Recv.List[0].Type.(*ast.Ident).Name)
			}
		}
	}
	slices.Sort(names)
	return names
}
