"""Developer tools: demonstration, measurements, soak test and test runner."""
