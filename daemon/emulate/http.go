package emulate

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"cactusknot.example/daemon/strictjson"
)

// maxBodyBytes bounds request bodies of all emulators.
const maxBodyBytes = 8 << 20

// apiError is the body of every error response of an emulator.
type apiError struct {
	Error apiErrorBody `json:"error"`
}

type apiErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

func writeError(c echo.Context, status int, kind, message string) error {
	return c.JSON(status, apiError{Error: apiErrorBody{Message: message, Type: kind}})
}

// decodeBody decodes the request body and rejects unknown fields.
func decodeBody(c echo.Context, into any) error {
	return DecodeStrict(c.Request().Body, into)
}

// DecodeStrict decodes exactly one JSON value and rejects unknown fields.
func DecodeStrict(r io.Reader, into any) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := strictjson.Decode(data, into); err != nil {
		return trace.BadParameter("JSON: %v", err)
	}
	return nil
}

// bufferBody reads the whole request body before the handler runs. net/http
// detects a closed connection only once the body has been read, so a handler that
// waits with an unread body would continue, and have its effect, after a crash.
func bufferBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		c.Request().Body = io.NopCloser(bytes.NewReader(body))
		return next(c)
	}
}

// newEcho returns an echo instance that prints no banner and converts errors to
// apiError bodies.
func newEcho(log zerolog.Logger) *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.Use(bufferBody)
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		if c.Response().Committed {
			return
		}
		status := http.StatusInternalServerError
		var he *echo.HTTPError
		if errors.As(err, &he) {
			status = he.Code
		}
		if trace.IsBadParameter(err) {
			status = http.StatusBadRequest
		}
		if writeErr := writeError(c, status, http.StatusText(status), err.Error()); writeErr != nil {
			log.Debug().Err(writeErr).Msg("could not write error response")
		}
	}
	return e
}

// addFaultsRoute adds POST /faults, which decodes the body as F and calls setFaults
// with it.
func addFaultsRoute[F any](e *echo.Echo, setFaults func(F) error) {
	e.POST("/faults", func(c echo.Context) error {
		var f F
		if err := decodeBody(c, &f); err != nil {
			return err
		}
		if err := setFaults(f); err != nil {
			return err
		}
		return c.NoContent(http.StatusNoContent)
	})
}
