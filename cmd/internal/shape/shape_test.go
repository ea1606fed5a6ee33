// Package shape checks the rules of the code base's shape against its import graph.
package shape

import (
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// decisions are the packages that must be pure state machines or policies.
var decisions = []string{
	"redwingpulley/kernel/invariant",
	"redwingpulley/kernel/model",
	"redwingpulley/kernel/port",
	"redwingpulley/plugins/endpoints/ledger",
	"redwingpulley/plugins/endpoints/loadview",
	"redwingpulley/plugins/endpoints/poolstate",
	"redwingpulley/plugins/jobs/fit",
	"redwingpulley/plugins/jobs/jobstate",
	"redwingpulley/plugins/jobs/retrybudget",
	"redwingpulley/plugins/leases/lease",
	"redwingpulley/plugins/membership/swim",
	"redwingpulley/plugins/placement/plan",
	"redwingpulley/plugins/profiles/register",
	"redwingpulley/plugins/quota/share",
}

// forbidden are what a decision package must not import, directly or through this project.
var forbidden = []string{"net", "net/http", "encoding/json", "os", "log", "log/slog", "sync", "crypto/rand"}

type goPackage struct {
	ImportPath string
	Imports    []string
	GoFiles    []string
	Dir        string
}

func load(t *testing.T) map[string]goPackage {
	t.Helper()
	out, err := exec.Command("go", "list", "-json=ImportPath,Imports,GoFiles,Dir", "work").Output()
	if err != nil {
		t.Fatal(err)
	}
	packages := make(map[string]goPackage)
	for decoder := json.NewDecoder(strings.NewReader(string(out))); decoder.More(); {
		var p goPackage
		if err := decoder.Decode(&p); err != nil {
			t.Fatal(err)
		}
		packages[p.ImportPath] = p
	}
	return packages
}

func TestDecisionPackagesArePure(t *testing.T) {
	is := is.New(t)
	packages := load(t)
	for _, path := range decisions {
		p, ok := packages[path]
		is.True(ok) // A listed decision package exists.
		is.Equal(impurities(packages, p), nil)
	}
}

// impurities returns the forbidden imports that p reaches through packages of this project.
func impurities(packages map[string]goPackage, p goPackage) []string {
	var found []string
	seen := map[string]bool{}
	var visit func(goPackage)
	visit = func(p goPackage) {
		for _, imported := range p.Imports {
			if slices.Contains(forbidden, imported) {
				found = append(found, p.ImportPath+" imports "+imported)
			}
			if next, ours := packages[imported]; ours && !seen[imported] {
				seen[imported] = true
				visit(next)
			}
		}
	}
	visit(p)
	return found
}

func TestImpuritiesAreFoundThroughOtherPackages(t *testing.T) {
	is := is.New(t)
	packages := map[string]goPackage{
		"a": {ImportPath: "a", Imports: []string{"b"}},
		"b": {ImportPath: "b", Imports: []string{"net/http"}},
	}
	is.Equal(impurities(packages, packages["a"]), []string{"b imports net/http"})
}

// root returns the folder of the plug-in that a package belongs to, below plugins/.
func root(path string) string {
	rest, ok := strings.CutPrefix(path, "redwingpulley/plugins/")
	if !ok {
		return ""
	}
	parts := strings.Split(rest, "/")
	switch parts[0] {
	case "placement", "admission", "frontend", "peer", "record":
		return strings.Join(parts[:min(2, len(parts))], "/")
	}
	return parts[0]
}

// shared are packages below plugins/ that are no plug-ins.
var shared = []string{"frontend/web", "placement/plan"}

func TestPluginsDoNotKnowOneAnother(t *testing.T) {
	is := is.New(t)
	for path, p := range load(t) {
		from := root(path)
		if from == "" || from == "standard" {
			continue
		}
		for _, imported := range p.Imports {
			to := root(imported)
			if to != "" && to != from && !slices.Contains(shared, to) {
				t.Logf("%s imports %s", path, imported)
				is.Fail()
			}
		}
	}
}

// TestOnlyTheBinaryKnowsThePlatform keeps the platform's names in its own folder.
func TestOnlyTheBinaryKnowsThePlatform(t *testing.T) {
	is := is.New(t)
	const platform = "redwingpulley/platform"
	for path, p := range load(t) {
		if strings.HasPrefix(path, platform) || path == "redwingpulley/cmd/internal/node" {
			continue
		}
		for _, imported := range p.Imports {
			if strings.HasPrefix(imported, platform) {
				t.Logf("%s imports %s", path, imported)
				is.Fail()
			}
		}
	}
}

// TestPlatformMeetsTheProductAtItsPorts has the platform's plug-ins import the kernel, their own
// folder and the shared HTTP helpers, so that nothing of the product is decided there.
func TestPlatformMeetsTheProductAtItsPorts(t *testing.T) {
	is := is.New(t)
	for path, p := range load(t) {
		if !strings.HasPrefix(path, "redwingpulley/platform") {
			continue
		}
		for _, imported := range p.Imports {
			ours := strings.HasPrefix(imported, "redwingpulley/")
			allowed := strings.HasPrefix(imported, "redwingpulley/kernel/") || strings.HasPrefix(imported, "redwingpulley/platform/") ||
				imported == "redwingpulley/plugins/frontend/web"
			if ours && !allowed {
				t.Logf("%s imports %s", path, imported)
				is.Fail()
			}
		}
	}
}

func TestKernelNamesNoPlugin(t *testing.T) {
	is := is.New(t)
	for path, p := range load(t) {
		if !strings.HasPrefix(path, "redwingpulley/kernel/") {
			continue
		}
		for _, imported := range p.Imports {
			is.True(!strings.HasPrefix(imported, "redwingpulley/plugins"))
		}
	}
}

// loggers are the names under which the code base keeps loggers, and log/slog's own.
var loggers = []string{"log", "Log", "logger", "Logger", "slog"}

// plainLines returns the calls in a file that log a line without a kind of kernel/event.
func plainLines(file *ast.File) (found []token.Pos) {
	methods := []string{"Debug", "Info", "Warn", "Error", "Log", "LogAttrs", "DebugContext", "InfoContext", "WarnContext", "ErrorContext"}
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !slices.Contains(methods, method.Sel.Name) {
			return true
		}
		receiver := ""
		switch x := method.X.(type) {
		case *ast.Ident:
			receiver = x.Name
		case *ast.SelectorExpr:
			receiver = x.Sel.Name
		}
		if slices.Contains(loggers, receiver) {
			found = append(found, call.Pos())
		}
		return true
	})
	return found
}

// TestEachLineHasAKind keeps the names of lines and fields in one package.
func TestEachLineHasAKind(t *testing.T) {
	for path, p := range load(t) {
		if path == "redwingpulley/kernel/event" {
			continue
		}
		for _, name := range p.GoFiles {
			files := token.NewFileSet()
			file, err := parser.ParseFile(files, filepath.Join(p.Dir, name), nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			for _, at := range plainLines(file) {
				t.Errorf("%s: a line without a kind", files.Position(at))
			}
		}
	}
}

func TestPlainLinesAreFound(t *testing.T) {
	is := is.New(t)
	const source = `package p
func f() {
	p.log.Info("a")
	slog.Warn("b")
	c.Log.LogAttrs(nil, 0, "c")
	event.JobTaken.Log(p.log)
	math.Log(2)
}`
	file, err := parser.ParseFile(token.NewFileSet(), "p.go", source, 0)
	is.NoErr(err)
	is.Equal(len(plainLines(file)), 3)
}
