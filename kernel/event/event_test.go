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

func TestKindNamesAreUniqueAndWellFormed(t *testing.T) {
	is := is.New(t)
	name := regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)
	seen := make(map[string]bool)
	for _, k := range Kinds() {
		is.True(name.MatchString(k.Name)) // Names are lower-case words.
		is.True(!seen[k.Name])            // No two kinds share a name.
		is.True(k.About != "")
		seen[k.Name] = true
		for _, f := range k.Fields {
			is.True(name.MatchString(string(f)))
		}
	}
}

const operationsPage = "../../docs/OPERATIONS.md"

// tableRow returns the row that describes a kind in the table on the operators' page.
func tableRow(k *Kind) string {
	fields := make([]string, 0, len(k.Fields))
	for _, f := range k.Fields {
		fields = append(fields, "`"+string(f)+"`")
	}
	return "| `" + k.Name + "` | " + strings.ToLower(k.Level.String()) + " | " + k.About + " | " + strings.Join(fields, " ") + " |"
}

// TestOperationsPageListsAllKinds compares the table on the operators' page with the kinds.
func TestOperationsPageListsAllKinds(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile(operationsPage)
	is.NoErr(err)
	rows := 0
	for line := range strings.Lines(string(raw)) {
		if regexp.MustCompile("^\\| `[a-z_]+` \\| (debug|info|warn|error) \\|").MatchString(line) {
			rows++
		}
	}
	for _, k := range Kinds() {
		if !strings.Contains(string(raw), tableRow(k)+"\n") {
			t.Errorf("docs/OPERATIONS.md lacks the line\n%s", tableRow(k))
		}
	}
	is.Equal(rows, len(Kinds())) // The page lists no kind that does not exist.
}

func TestFieldsAreBoundedAndFormatted(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := slog.New(slog.NewJSONHandler(&out, nil))
	long := strings.Repeat("ä", maxText)
	RequestRefused.Log(log, Text(Path, long), MS(TookMS, 1234567*time.Nanosecond), Int(HTTP, 503), Flag(Replica, true),
		List(Seeds, []string{"a", "b"}))
	for _, want := range []string{`"level":"WARN"`, `"msg":"request_refused"`, `"took_ms":1.2,`, `"http_status":503`, `"replica":true`, `"seeds":"a,b"`} {
		is.True(strings.Contains(out.String(), want)) // The line contains the field.
	}
	is.True(out.Len() < 2*maxText)
	is.True(utf8.Valid(out.Bytes()))
	is.True(!strings.Contains(out.String(), `\ufffd`)) // The text is cut off between two characters.
}
