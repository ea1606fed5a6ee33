// Package shape checks the rules of the code base's structure: which packages may import which, and that every log
// line has a kind.
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

// decisionPackages are the packages that must be pure state machines or policies, without I/O, locks or encoding.
var decisionPackages = []string{
	"redwingpulley/kernel/invariant",
	"redwingpulley/kernel/model",
	"redwingpulley/kernel/port",
	"redwingpulley/plugins/endpoints/crashes",
	"redwingpulley/plugins/endpoints/interference",
	"redwingpulley/plugins/endpoints/keptturns",
	"redwingpulley/plugins/endpoints/ledger",
	"redwingpulley/plugins/endpoints/loadview",
	"redwingpulley/plugins/endpoints/poolstate",
	"redwingpulley/plugins/endpoints/runtimes",
	"redwingpulley/plugins/endpoints/speed",
	"redwingpulley/plugins/endpoints/transit",
	"redwingpulley/plugins/endpoints/urgency",
	"redwingpulley/plugins/jobs/fit",
	"redwingpulley/plugins/jobs/jobstate",
	"redwingpulley/plugins/jobs/retrybudget",
	"redwingpulley/plugins/leases/lease",
	"redwingpulley/plugins/membership/swim",
	"redwingpulley/plugins/placement/plan",
	"redwingpulley/plugins/profiles/occupancy",
	"redwingpulley/plugins/profiles/register",
	"redwingpulley/plugins/quota/share",
}

// forbiddenImports are the packages that a decision package must not import, either directly or through other packages
// of this project.
var forbiddenImports = []string{"net", "net/http", "encoding/json", "os", "log", "log/slog", "sync", "crypto/rand"}

type goPackage struct {
	ImportPath string
	Imports    []string
	GoFiles    []string
	Dir        string
}

func loadPackages(t *testing.T) map[string]goPackage {
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

func TestDecisionPackagesImportNothingForbidden(t *testing.T) {
	is := is.New(t)
	packages := loadPackages(t)
	for _, path := range decisionPackages {
		p, ok := packages[path]
		is.True(ok) // Each listed package exists.
		is.Equal(findForbiddenImports(packages, p), nil)
	}
}

// findForbiddenImports returns the forbidden imports of p and of the packages of this project that it imports, directly
// or indirectly.
func findForbiddenImports(packages map[string]goPackage, p goPackage) []string {
	var found []string
	seen := map[string]bool{}
	var visit func(goPackage)
	visit = func(p goPackage) {
		for _, imported := range p.Imports {
			if slices.Contains(forbiddenImports, imported) {
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

func TestForbiddenImportsAreFoundThroughOtherPackages(t *testing.T) {
	is := is.New(t)
	packages := map[string]goPackage{
		"a": {ImportPath: "a", Imports: []string{"b"}},
		"b": {ImportPath: "b", Imports: []string{"net/http"}},
	}
	is.Equal(findForbiddenImports(packages, packages["a"]), []string{"b imports net/http"})
}

// pluginFolder returns the folder, below plugins/, of the plug-in that a package belongs to, or "" if it belongs to
// none.
func pluginFolder(path string) string {
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

// sharedPackages are packages below plugins/ that are not plug-ins, so that plug-ins may import them.
var sharedPackages = []string{"frontend/web", "placement/plan"}

func TestPluginsDoNotImportOneAnother(t *testing.T) {
	is := is.New(t)
	for path, p := range loadPackages(t) {
		from := pluginFolder(path)
		if from == "" || from == "standard" {
			continue
		}
		for _, imported := range p.Imports {
			to := pluginFolder(imported)
			if to != "" && to != from && !slices.Contains(sharedPackages, to) {
				t.Logf("%s imports %s", path, imported)
				is.Fail()
			}
		}
	}
}

// TestOnlyNodePackageImportsThePlatform checks that nothing outside platform/ depends on the users' platform, except
// the package that links its plug-ins into the program. So the platform's names stay in its own folder.
func TestOnlyNodePackageImportsThePlatform(t *testing.T) {
	is := is.New(t)
	const platform = "redwingpulley/platform"
	for path, p := range loadPackages(t) {
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

// TestPlatformImportsOnlyTheKernelAndWebHelpers checks that the platform's plug-ins import only the kernel, their own
// folder and the shared HTTP helpers of this project: they use the product only through the kernel's ports, so that
// none of the product's decisions are made in the platform's folder.
func TestPlatformImportsOnlyTheKernelAndWebHelpers(t *testing.T) {
	is := is.New(t)
	for path, p := range loadPackages(t) {
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

func TestKernelImportsNoPlugin(t *testing.T) {
	is := is.New(t)
	for path, p := range loadPackages(t) {
		if !strings.HasPrefix(path, "redwingpulley/kernel/") {
			continue
		}
		for _, imported := range p.Imports {
			is.True(!strings.HasPrefix(imported, "redwingpulley/plugins"))
		}
	}
}

// loggers are the names of variables and fields that hold loggers in the code base, and the name of package log/slog.
var loggers = []string{"log", "Log", "logger", "Logger", "slog"}

// logCallsWithoutKind returns the positions of the calls in a file that log a line directly, without a kind of
// kernel/event.
func logCallsWithoutKind(file *ast.File) (found []token.Pos) {
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

// TestEachLogLineHasAKind checks that lines are logged only through kinds of kernel/event, so that the names of lines
// and fields are all in that package.
func TestEachLogLineHasAKind(t *testing.T) {
	for path, p := range loadPackages(t) {
		if path == "redwingpulley/kernel/event" {
			continue
		}
		for _, name := range p.GoFiles {
			files := token.NewFileSet()
			file, err := parser.ParseFile(files, filepath.Join(p.Dir, name), nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			for _, at := range logCallsWithoutKind(file) {
				t.Errorf("%s: a log line without a kind", files.Position(at))
			}
		}
	}
}

func TestLogCallsWithoutKindAreFound(t *testing.T) {
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
	is.Equal(len(logCallsWithoutKind(file)), 3)
}
