package gateway

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"os"
	"time"

	"chutelock.dev/chutelock/internal/gateway/apierror"
)

// readBody reads a JSON body within MaxBodyBytes and BodyTimeout.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *apierror.Error) {
	if kind := r.Header.Get("Content-Type"); kind != "" {
		media, _, err := mime.ParseMediaType(kind)
		if err != nil || media != "application/json" {
			return nil, unsupportedMedia("Content-Type")
		}
	}
	if encoding := r.Header.Get("Content-Encoding"); encoding != "" && encoding != "identity" {
		return nil, unsupportedMedia("Content-Encoding")
	}
	if r.ContentLength > g.config.MaxBodyBytes {
		w.Header().Set("Connection", "close")
		return nil, apierror.BodyTooLarge(g.config.MaxBodyBytes)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(g.config.BodyTimeout))
	keep := context.AfterFunc(r.Context(), func() { _ = control.SetReadDeadline(time.Now()) })
	defer keep()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.config.MaxBodyBytes))
	if err != nil {
		if errors.Is(context.Cause(r.Context()), apierror.ErrStopping) {
			w.Header().Set("Connection", "close")
			return nil, apierror.Stopping()
		}
		return nil, g.bodyError(w, err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

func unsupportedMedia(header string) *apierror.Error {
	return &apierror.Error{Status: http.StatusUnsupportedMediaType, Code: apierror.CodeUnsupportedMedia, Type: apierror.TypeInvalidRequest, Param: header, Message: "send the body as application/json without a content encoding"}
}

func (g *Gateway) bodyError(w http.ResponseWriter, err error) *apierror.Error {
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return apierror.BodyTooLarge(tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return apierror.BodyTimeout(g.config.BodyTimeout)
	}
	return apierror.InvalidJSON("", "the body broke off")
}
