package bundle

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"cactusknot.example/daemon/strictjson"
)

// MaxBytes bounds the JSON form of a bundle. It is four times the bundle size
// that the deployment plans for (1 MB).
const MaxBytes = 4 << 20

// Errors of decoding. Callers test them with errors.Is.
var (
	// ErrTrailingData: bytes follow the JSON value.
	ErrTrailingData = strictjson.ErrTrailingData
	// ErrTooLarge: the input is longer than its bound.
	ErrTooLarge = errors.New("bundle: input too large")
)

// Decode reads one bundle as strict JSON: unknown fields, trailing data and
// input above MaxBytes are refused. It does not validate the content.
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

// decodeExact decodes data, which must hold exactly one JSON value without unknown
// fields, into v. It names no field path, since parts and manifests come from
// programs; strictjson.Decode would double the time that a changed bundle takes.
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
