package strictjson

import (
	"errors"
	"testing"

	"github.com/cockroachdb/datadriven"
)

type inner struct {
	Count int             `json:"count"`
	Names []string        `json:"names"`
	By    map[string]leaf `json:"by"`
	Next  *inner          `json:"next"`
}

type leaf struct {
	On bool `json:"on"`
}

type embedded struct {
	Base leaf `json:"base"`
}

type outer struct {
	embedded
	Inner inner   `json:"inner"`
	List  []inner `json:"list"`
	Any   any     `json:"any"`
}

// TestDecode guards against unknown fields that are ignored at some depth and against
// errors that do not name the field by its path in the JSON.
func TestDecode(t *testing.T) {
	datadriven.RunTest(t, "testdata/decode", func(t *testing.T, d *datadriven.TestData) string {
		err := Decode([]byte(d.Input), &outer{})
		if err == nil {
			return "ok\n"
		}
		var field *FieldError
		if !errors.As(err, &field) {
			t.Errorf("%s: %T is not a FieldError", d.Pos, err)
		}
		return err.Error() + "\n"
	})
}
