package config

import "fmt"

// FieldError reports a setting that is missing or invalid.
type FieldError struct {
	// Field is the path of the setting in the file, such as deployment.teams[0].name.
	Field string
	// Problem describes what is wrong with the value.
	Problem string
}

func (e *FieldError) Error() string { return fmt.Sprintf("field %s: %s", e.Field, e.Problem) }

// DecodeError reports the position at which a settings file is not valid TOML or has a value of the wrong type.
type DecodeError struct {
	Line, Column int
	Key          []string // path of the setting, if the error is about one
	Err          error
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("line %d column %d, field %v: %s", e.Line, e.Column, e.Key, e.Err)
}

func (e *DecodeError) Unwrap() error { return e.Err }
