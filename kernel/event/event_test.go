package event

import (
	"bytes"
	"log/slog"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/matryer/is"
)

func TestKindsAreNamedOnceAndInOneWay(t *testing.T) {
	is := is.New(t)
	name := regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)
	seen := make(map[string]bool)
	for _, k := range Kinds() {
		is.True(name.MatchString(k.Name)) // Lower-case words.
		is.True(!seen[k.Name])            // No name stands for two kinds.
		is.True(k.About != "")
		seen[k.Name] = true
		for _, f := range k.Fields {
			is.True(name.MatchString(string(f)))
		}
	}
}

const operations = "../../docs/OPERATIONS.md"

// row is the line of the operators' page that describes a kind.
func row(k *Kind) string {
	fields := make([]string, 0, len(k.Fields))
	for _, f := range k.Fields {
		fields = append(fields, "`"+string(f)+"`")
	}
	return "| `" + k.Name + "` | " + strings.ToLower(k.Level.String()) + " | " + k.About + " | " + strings.Join(fields, " ") + " |"
}

// TestOperatorsFindAllKinds compares the table on the operators' page with the kinds.
func TestOperatorsFindAllKinds(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile(operations)
	is.NoErr(err)
	listed := 0
	for line := range strings.Lines(string(raw)) {
		if regexp.MustCompile("^\\| `[a-z_]+` \\| (debug|info|warn|error) \\|").MatchString(line) {
			listed++
		}
	}
	for _, k := range Kinds() {
		if !strings.Contains(string(raw), row(k)+"\n") {
			t.Errorf("docs/OPERATIONS.md lacks the line\n%s", row(k))
		}
	}
	is.Equal(listed, len(Kinds())) // The page describes nothing that is not written.
}

func TestFieldsAreBoundedAndSaidInOneUnit(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := slog.New(slog.NewJSONHandler(&out, nil))
	long := strings.Repeat("ä", maxText)
	RequestRefused.Log(log, Text(Path, long), MS(TookMS, 1234567*time.Nanosecond), Count(HTTP, 503), Is(Replica, true),
		List(Seeds, []string{"a", "b"}))
	for _, want := range []string{`"level":"WARN"`, `"msg":"request_refused"`, `"took_ms":1.2,`, `"http_status":503`, `"replica":true`, `"seeds":"a,b"`} {
		is.True(strings.Contains(out.String(), want)) // Each field is written.
	}
	is.True(out.Len() < 2*maxText)
	is.True(utf8.Valid(out.Bytes()))
	is.True(!strings.Contains(out.String(), `\ufffd`)) // No character is cut in two.
}
