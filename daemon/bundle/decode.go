package bundle

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"cactusknot.example/daemon/strictjson"
)

// MaxBytes bounds the JSON form of a bundle. It is four times the planned size of a
// bundle in a deployment (1 MB).
const MaxBytes = 4 << 20

// Errors of decoding, for errors.Is.
var (
	// ErrTrailingData: the input continues after the JSON value.
	ErrTrailingData = strictjson.ErrTrailingData
	// ErrTooLarge: the input is longer than MaxBytes.
	ErrTooLarge = errors.New("bundle: input too large")
)

// Decode reads one bundle as strict JSON. It refuses unknown fields, trailing data and
// input longer than MaxBytes. It does not validate the content.
func Decode(r io.Reader) (*Bundle, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("bundle: read: %w", err)
	}
	if len(data) > MaxBytes {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, MaxBytes)
	}
	b := new(Bundle)
	if err := strictjson.Decode(data, b); err != nil {
		return nil, fmt.Errorf("bundle: %w", err)
	}
	return b, nil
}

// decodeExact decodes data, which must be exactly one JSON value without unknown fields,
// into v. Its errors name no field path, because parts and manifests are written by
// programs; strictjson.Decode, which names the path, would double the time to apply a changed
// bundle.
func decodeExact(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("bundle: decode at byte %d: %w", d.InputOffset(), err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return ErrTrailingData
	}
	return nil
}
