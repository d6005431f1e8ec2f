package jyplace_test

import (
	"testing"

	"github.com/jackdawyard/jackdawyard/internal/jytest"
)

func TestMain(m *testing.M) { jytest.Explore(m, jytest.Effort{Checks: 300}) }
