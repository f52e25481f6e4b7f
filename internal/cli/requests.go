package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"catkinvalve/internal/api"
	"catkinvalve/internal/jsonc"
)

// parseRequests parses one JSON request per line and skips empty lines. It returns a problem
// for each line that has one; the first problem of a line is reported.
func parseRequests(file string, data []byte) ([]api.SubmitRequest, jsonc.Problems) {
	var requests []api.SubmitRequest
	var problems jsonc.Problems
	lineOfKey := map[string]int{}
	for i, line := range bytes.Split(data, []byte("\n")) {
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		req, problem := parseRequest(line)
		if problem == nil && lineOfKey[req.Key] > 0 {
			problem = &jsonc.Problem{Column: 1, Fault: "key " + req.Key + " occurs on an earlier line", Remedy: "give each request its own key"}
		}
		if problem != nil {
			problem.File, problem.Line = file, i+1
			problems = append(problems, *problem)
			continue
		}
		lineOfKey[req.Key] = i + 1
		requests = append(requests, req)
	}
	return requests, problems
}

func parseRequest(line []byte) (api.SubmitRequest, *jsonc.Problem) {
	var req api.SubmitRequest
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&req); err != nil {
		return req, &jsonc.Problem{Column: errorColumn(err, decoder), Fault: "invalid request: " + err.Error(), Remedy: "write one JSON request on each line"}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return req, &jsonc.Problem{Column: int(decoder.InputOffset()) + 1, Fault: "data after the request", Remedy: "write one JSON request on each line"}
	}
	if req.Key == "" || req.Service == "" {
		return req, &jsonc.Problem{Column: 1, Fault: "request has no key or no service", Remedy: "set both fields"}
	}
	return req, nil
}

// errorColumn returns the column, counted in bytes from 1, at which decoding failed.
func errorColumn(err error, decoder *json.Decoder) int {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return max(1, int(syntax.Offset))
	case errors.As(err, &wrongType):
		return max(1, int(wrongType.Offset))
	}
	return int(decoder.InputOffset()) + 1
}
