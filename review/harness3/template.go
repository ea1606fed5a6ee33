package main

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
)

var placeholder = regexp.MustCompile(`\{\{([a-z_0-9.]+)(\|json)?\}\}`)

// render fills in a template of deploy/ as the platform does. It supports the placeholders without sections, which are all
// that these templates have.
func render(path string, fields map[string]any) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return placeholder.ReplaceAllFunc(raw, func(match []byte) []byte {
		parts := placeholder.FindSubmatch(match)
		value := lookup(fields, strings.Split(string(parts[1]), "."))
		if len(parts[2]) > 0 {
			encoded, _ := json.Marshal(value)
			return encoded
		}
		return []byte(fmt.Sprint(value))
	}), nil
}

// lookup returns the value at a path of names and indices, or nil.
func lookup(value any, path []string) any {
	for _, name := range path {
		switch v := value.(type) {
		case map[string]any:
			value = v[name]
		case []any:
			index, err := strconv.Atoi(name)
			if err != nil || index >= len(v) {
				return nil
			}
			value = v[index]
		default:
			return nil
		}
	}
	return value
}
